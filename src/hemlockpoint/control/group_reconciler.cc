#include "hemlockpoint/control/group_reconciler.h"

#include <algorithm>
#include <utility>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

namespace {

constexpr Millis kFormRetryPeriod(200);
constexpr Millis kLinkTimeout(400);
constexpr Millis kCommitTimeout(2000);
constexpr Millis kToleranceLogPeriod(100);
// Longer than elections with split votes take.
constexpr Millis kMissingLeaderLogPeriod(3000);
constexpr Millis kReconcilePeriod(100);
// After this time the group is formed of the seeds that have replied, provided
// that they are a majority of the seeds.
constexpr Millis kFormWithMajorityAfter(3000);

}  // namespace

GroupReconciler::GroupReconciler(
    const Settings& settings,
    FiberLoop& loop,
    LinkManager& links,
    RaftDriver& group,
    std::function<std::optional<InstanceQuery>(const Endpoint&)> query_instance)
    : m_settings(settings),
      m_loop(loop),
      m_links(links),
      m_group(group),
      m_query_instance(std::move(query_instance)) {}

void GroupReconciler::Start() {
  m_started_at = SteadyNow();
  m_leader_missing_since = m_started_at;
  SetSeeds(m_settings.m_seeds);
  m_loop.SpawnPeriodic(kHostHeartbeatPeriod, [this] { SendHeartbeats(); });
  m_loop.SpawnPeriodic(kReconcilePeriod, [this] { ReconcileMembers(); });
  m_loop.SpawnPeriodic(kToleranceLogPeriod, [this] {
    const Millis now = SteadyNow();
    LogTolerance(now);
    LogMissingLeader(now);
  });
  // Only the host with the lowest endpoint forms the group, so that two hosts
  // can't form different groups.
  const auto lowest_seed =
      std::min_element(m_settings.m_seeds.begin(), m_settings.m_seeds.end());
  if (m_settings.m_may_form_group && lowest_seed != m_settings.m_seeds.end() &&
      *lowest_seed == m_settings.m_peer) {
    m_loop.Spawn([this, seeds = m_settings.m_seeds] { FormGroup(seeds); });
  }
}

void GroupReconciler::SetSeeds(std::vector<Endpoint> seeds) {
  hemlockpoint::SetSeeds(m_hosts.m_hosts, std::move(seeds), SteadyNow());
}

HostHeartbeat GroupReconciler::MakeHostHeartbeat() const {
  HostHeartbeat heartbeat;
  heartbeat.m_node = m_settings.m_node;
  heartbeat.m_instance = m_group.raft().m_instance;
  heartbeat.m_peer = ToText(m_settings.m_peer);
  heartbeat.m_admin = ToText(m_settings.m_external);
  heartbeat.m_group_id = m_group.raft().m_config.m_config.m_group_id;
  return heartbeat;
}

void GroupReconciler::SendHeartbeats() {
  const Millis now = SteadyNow();
  const RaftState& raft = m_group.raft();
  FollowLeadership(m_hosts, raft, now);
  for (const Endpoint& receiver :
       HostHeartbeatReceivers(m_hosts, raft, m_settings.m_peer, now)) {
    m_links.SendTo(receiver, MakeHostHeartbeat());
  }
  for (const Endpoint& receiver :
       AnnouncementReceivers(m_hosts, raft, m_settings.m_peer, now)) {
    m_links.SendTo(receiver, MakeHostHeartbeatAck(m_hosts, raft, now));
  }
}

void GroupReconciler::Handle(const HostHeartbeat& heartbeat) {
  RecordHostHeartbeat(m_hosts, m_group.raft(), heartbeat, SteadyNow());
}

void GroupReconciler::Handle(const HeartbeatAck& ack) {
  const auto leader = RecordHostHeartbeatAck(
      m_hosts, m_group.raft(), m_settings.m_peer, ack, SteadyNow());
  if (leader) {
    m_links.SendTo(*leader, MakeHostHeartbeat());
  }
}

// Takes the seeds of the start, which the other hosts have, too. A reload may
// replace those in the settings meanwhile.
void GroupReconciler::FormGroup(const std::vector<Endpoint>& seeds) {
  while (!m_loop.stopping() && !IsInGroup(m_group.raft())) {
    GroupConfig config;
    config.m_group_id = MakeRandomId();
    bool is_group_formed = false;
    for (const Endpoint& seed : seeds) {
      GroupMember member;
      member.m_peer = ToText(seed);
      member.m_is_voter = true;
      if (seed == m_settings.m_peer) {
        member.m_node = m_settings.m_node;
        member.m_instance = m_group.raft().m_instance;
        member.m_admin = ToText(m_settings.m_external);
        config.m_members.push_back(member);
        continue;
      }
      const auto reply = m_query_instance(seed);
      if (reply) {
        is_group_formed = is_group_formed || !reply->m_group_id.empty();
        member.m_node = reply->m_node;
        member.m_instance = reply->m_instance;
        member.m_admin = reply->m_admin;
        config.m_members.push_back(member);
      }
    }
    if (is_group_formed) {
      // This host has lost its data after the group was formed. The leader of
      // the group will add it as a new member.
      LogLine(LogLevel::kInfo, "group_found")
          .With("peer", ToText(m_settings.m_peer));
      return;
    }
    const bool has_all_seeds = config.m_members.size() == seeds.size();
    const bool has_majority = config.m_members.size() * 2 > seeds.size();
    const bool is_overdue = SteadyNow() - m_started_at > kFormWithMajorityAfter;
    if (has_all_seeds || (has_majority && is_overdue)) {
      LogLine(LogLevel::kInfo, "group_formed")
          .With("group_id", config.m_group_id)
          .With("members", static_cast<std::uint64_t>(config.m_members.size()));
      m_group.Init(config);
      return;
    }
    SleepFor(kFormRetryPeriod);
  }
}

void GroupReconciler::ReconcileMembers() {
  const Millis now = SteadyNow();
  FollowLeadership(m_hosts, m_group.raft(), now);
  if (!m_group.is_leader()) {
    return;
  }
  const auto change =
      PlanGroupChange(m_group.raft().m_config.m_config, m_hosts.m_heartbeats,
                      m_group.raft().m_instance,
                      VoterCountFor(m_settings.m_tolerated_losses), now);
  if (!change) {
    return;
  }
  const auto committed =
      m_group.Commit(LogEntryKind::kConfig, EncodeFields(change->m_config),
                     SteadyNow() + kCommitTimeout);
  LogLine(LogLevel::kInfo, "group_changed")
      .With("action", change->m_action)
      .With("instance", change->m_instance)
      .With("reason", change->m_reason)
      .With("outcome", committed ? "committed" : committed.reason());
}

// A group that stops can't say why, so the leader says beforehand how many
// further losses would stop it. Acks are still missing right after an election.
void GroupReconciler::LogTolerance(Millis now) {
  const RaftState& raft = m_group.raft();
  if (!m_group.is_leader()) {
    m_logged_tolerance = GroupTolerance();
    return;
  }
  const GroupTolerance tolerance = AssessTolerance(raft, now);
  const bool has_acks = now - raft.m_leading_since > kRaftHeartbeatInterval * 2;
  if (!has_acks || tolerance == m_logged_tolerance) {
    return;
  }
  m_logged_tolerance = tolerance;
  const std::size_t required = m_settings.m_tolerated_losses;
  LogLine(
      tolerance.m_losses < required ? LogLevel::kWarning : LogLevel::kInfo,
      tolerance.m_losses < required ? "group_at_risk" : "group_tolerates_loss")
      .With("voters", static_cast<std::uint64_t>(tolerance.m_voters))
      .With("live", static_cast<std::uint64_t>(tolerance.m_live_voters))
      .With("losses_borne", static_cast<std::uint64_t>(tolerance.m_losses))
      .With("required", static_cast<std::uint64_t>(required));
}

// The votes tell whether the other voters are silent, or refuse this one, which
// lacks entries that they have.
void GroupReconciler::LogMissingLeader(Millis now) {
  const RaftState& raft = m_group.raft();
  if (!IsInGroup(raft) || !raft.m_leader.empty()) {
    m_leader_missing_since = now;
  }
  if (now - m_leader_missing_since < kMissingLeaderLogPeriod) {
    return;
  }
  m_leader_missing_since = now;
  const auto& members = raft.m_config.m_config.m_members;
  const auto voters = std::count_if(
      members.begin(), members.end(),
      [](const GroupMember& member) { return member.m_is_voter; });
  LogLine(LogLevel::kWarning, "group_without_leader")
      .With("instance", raft.m_instance)
      .With("term", raft.m_hard.m_term)
      .With("last_term", LastTerm(raft.m_log))
      .With("last_index", LastIndex(raft.m_log))
      .With("voters", static_cast<std::uint64_t>(voters))
      .With("granted", static_cast<std::uint64_t>(raft.m_granted_votes.size()))
      .With("refused", static_cast<std::uint64_t>(raft.m_refused_votes.size()));
}

}  // namespace hemlockpoint
