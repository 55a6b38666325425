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
// After this time a group is formed of the seeds that have answered, as long
// as they are a majority.
constexpr Millis kFormWithMajorityAfter(3000);

}  // namespace

GroupReconciler::GroupReconciler(
    const Settings& settings,
    FiberLoop& loop,
    LinkManager& links,
    RaftDriver& group,
    std::function<std::optional<InstanceQuery>(const Endpoint&)> query)
    : m_settings(settings),
      m_loop(loop),
      m_links(links),
      m_group(group),
      m_query(std::move(query)) {}

void GroupReconciler::Start() {
  m_started = SteadyNow();
  SetSeeds(m_settings.m_seeds);
  m_loop.SpawnPeriodic(kHostHeartbeatPeriod, [this] { SendHostHeartbeat(); });
  m_loop.SpawnPeriodic(kHostHeartbeatPeriod, [this] { Plan(); });
  // One host forms the group, so that there can't be two.
  const auto first =
      std::min_element(m_settings.m_seeds.begin(), m_settings.m_seeds.end());
  if (m_settings.m_form_group && first != m_settings.m_seeds.end() &&
      *first == m_settings.m_peer) {
    m_loop.Spawn([this] { FormGroup(); });
  }
}

void GroupReconciler::SetSeeds(std::vector<Endpoint> seeds) {
  hemlockpoint::SetSeeds(m_hosts, std::move(seeds), SteadyNow());
}

HostHeartbeat GroupReconciler::MakeHostHeartbeat() const {
  HostHeartbeat beat;
  beat.m_node = m_settings.m_node;
  beat.m_instance = m_group.raft().m_instance;
  beat.m_peer = ToText(m_settings.m_peer);
  beat.m_admin = ToText(m_settings.m_outside);
  beat.m_group_id = m_group.raft().m_config.m_config.m_group_id;
  return beat;
}

void GroupReconciler::SendHostHeartbeat() {
  if (m_group.is_leader()) {
    return;
  }
  const Millis now = SteadyNow();
  const GroupMember* leader = m_group.leader();
  const Result<Endpoint> known = ParseEndpoint(leader ? leader->m_peer : "");
  if (known) {
    m_hosts.m_current = *known;
  } else if (IsCurrentHostSilent(m_hosts, now) ||
             m_hosts.m_current == m_settings.m_peer) {
    SelectNextHost(m_hosts, now);
  }
  if (!(m_hosts.m_current == m_settings.m_peer)) {
    m_links.SendTo(m_hosts.m_current, MakeHostHeartbeat());
  }
}

void GroupReconciler::Handle(const HostHeartbeat& beat) {
  if (m_group.is_leader()) {
    m_heard[beat.m_instance] = {beat, SteadyNow()};
  }
}

void GroupReconciler::Handle(const HeartbeatAck& ack) {
  (void)HandleHeartbeatAck(m_hosts, ack, SteadyNow());
}

void GroupReconciler::FormGroup() {
  while (!m_loop.stopping() && !IsInGroup(m_group.raft())) {
    GroupConfig config;
    config.m_group_id = MakeRandomId();
    bool other_group = false;
    for (const Endpoint& seed : m_settings.m_seeds) {
      GroupMember member;
      member.m_peer = ToText(seed);
      member.m_is_voter = true;
      if (seed == m_settings.m_peer) {
        member.m_node = m_settings.m_node;
        member.m_instance = m_group.raft().m_instance;
        member.m_admin = ToText(m_settings.m_outside);
        config.m_members.push_back(member);
        continue;
      }
      const auto answer = m_query(seed);
      if (answer) {
        other_group = other_group || !answer->m_group_id.empty();
        member.m_node = answer->m_node;
        member.m_instance = answer->m_instance;
        member.m_admin = answer->m_admin;
        config.m_members.push_back(member);
      }
    }
    if (other_group) {
      // The group was formed in an earlier life of this host, whose data is
      // gone; the group's leader will admit this host again.
      LogLine(LogLevel::kInfo, "group_found")
          .With("peer", ToText(m_settings.m_peer));
      return;
    }
    const bool all = config.m_members.size() == m_settings.m_seeds.size();
    const bool majority =
        config.m_members.size() * 2 > m_settings.m_seeds.size();
    const bool late = SteadyNow() - m_started > kFormWithMajorityAfter;
    if (all || (majority && late)) {
      LogLine(LogLevel::kInfo, "group_formed")
          .With("group_id", config.m_group_id)
          .With("members", static_cast<std::uint64_t>(config.m_members.size()));
      m_group.Init(config);
      return;
    }
    SleepFor(kFormRetryPeriod);
  }
}

// A new leader first hears every host again.
void GroupReconciler::Plan() {
  const bool leads = m_group.is_leader();
  const Millis now = SteadyNow();
  if (leads != m_was_leader) {
    m_was_leader = leads;
    m_elected_at = now;
    m_heard.clear();
  }
  if (!leads || now - m_elected_at < kMemberLossTimeout) {
    return;
  }
  const auto change = PlanGroupChange(
      m_group.raft().m_config.m_config, m_heard, m_group.raft().m_instance,
      VoterCountFor(m_settings.m_losses_borne), now);
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

}  // namespace hemlockpoint
