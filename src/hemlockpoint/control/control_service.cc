#include "hemlockpoint/control/control_service.h"

#include <algorithm>
#include <utility>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

namespace {

// Changes made within one period are sent together.
constexpr Millis kPushPeriod(100);
constexpr Millis kCommitTimeout(4000);
constexpr Millis kConfirmLeadershipTimeout(1500);
constexpr Millis kClaimPlanPeriod(1000);

SuspectRow MakeSuspectRow(Fingerprint request,
                          const SuspectEntry& entry,
                          Millis now) {
  SuspectRow row;
  row.m_fingerprint = request;
  row.m_state = entry.m_state == SuspectState::kQuarantined ? 1 : 0;
  row.m_time_left = entry.m_expires - now;
  return row;
}

SuspectRow MakeCrashRow(const CrashCounts& counts,
                        Fingerprint request,
                        Millis now) {
  SuspectRow row;
  row.m_fingerprint = request;
  row.m_crashes = CrashesOf(counts, request, now);
  row.m_state = IsQuarantined(counts, request, now) ? 1 : 0;
  return row;
}

}  // namespace

ControlService::ControlService(const Settings& settings,
                               FiberLoop& loop,
                               LinkManager& links,
                               DocumentParser parse_document)
    : m_settings(settings),
      m_loop(loop),
      m_links(links),
      m_group(settings,
              loop,
              links,
              {[this](const LogEntry& entry) {
                 ApplyLogEntry(m_state, entry);
                 ++m_claim_sets_version;
               },
               [this](const std::string& snapshot) {
                 auto state = DecodeReplicatedState(snapshot);
                 if (state) {
                   m_state = std::move(*state);
                   ++m_claim_sets_version;
                 }
               },
               [this] { return EncodeReplicatedState(m_state); }}),
      m_documents(m_group,
                  m_state,
                  std::move(parse_document),
                  [this] {
                    const auto heard =
                        FindHeardLeader(m_reconciler.hosts(), SteadyNow());
                    return heard ? heard->m_admin : std::string();
                  }),
      m_reconciler(
          settings,
          loop,
          links,
          m_group,
          [this](const Endpoint& peer) { return QueryInstance(peer); }) {}

std::optional<std::string> ControlService::Start() {
  if (auto error = m_group.Start()) {
    return error;
  }
  m_loop.SpawnPeriodic(kPushPeriod, [this] { Tick(); });
  if (m_settings.m_mode == ServingMode::kRoutes) {
    m_reconciler.Start();
  }
  return std::nullopt;
}

HeartbeatAck ControlService::MakeAck(Millis now) const {
  HeartbeatAck ack =
      MakeHeartbeatAck(m_reconciler.hosts(), m_group.raft(), now);
  ack.m_revision = m_state.m_policy.m_document.m_revision;
  return ack;
}

void ControlService::Handle(LinkId link, const HostHeartbeat& heartbeat) {
  m_reconciler.Handle(heartbeat);
  m_links.Send(link, MakeHostHeartbeatAck(m_reconciler.hosts(), m_group.raft(),
                                          SteadyNow()));
}

void ControlService::Handle(const HeartbeatAck& ack) {
  m_reconciler.Handle(ack);
}

void ControlService::Handle(LinkId link, const Heartbeat& heartbeat) {
  FollowLeadership();
  const Millis now = SteadyNow();
  HeartbeatAck ack = MakeAck(now);
  // The leader sends the list of control hosts with the first ack to a node.
  // Other hosts send it with every ack, so that the node can find the leader.
  if (!ack.m_is_leader || m_nodes.count(link) == 0) {
    for (const auto& member : m_group.raft().m_config.m_config.m_members) {
      ack.m_hosts.push_back(member.m_peer);
    }
  }
  m_links.Send(link, ack);
  if (!ack.m_is_leader) {
    return;
  }
  RenewMember(m_directory, heartbeat.m_member, now);
  const bool is_new = m_nodes.count(link) == 0;
  NodeState& node = m_nodes[link];
  node.m_node_id = heartbeat.m_member.m_node;
  node.m_revision = heartbeat.m_member.m_revision;
  node.m_document_version = heartbeat.m_member.m_document;
  UpdateInterests(node.m_subscriber, m_directory, heartbeat);
  if (is_new) {
    SuspectReport report;
    report.m_rows = CollectSuspects(now);
    if (!report.m_rows.empty()) {
      m_links.Send(link, report);
    }
  }
  PushState(link, node, now);
}

void ControlService::Handle(LinkId, const GroupInit& init) {
  const bool is_invited =
      FindMemberByInstance(init.m_config, m_group.raft().m_instance) != nullptr;
  if (is_invited && !IsInGroup(m_group.raft())) {
    (void)m_group.Init(init.m_config);
  }
}

void ControlService::Handle(LinkId link, const InstanceQuery& query) {
  if (query.m_is_reply) {
    m_instance_replies[link] = query;
    m_instance_reply_received.Notify();
    return;
  }
  InstanceQuery reply;
  reply.m_is_reply = true;
  reply.m_instance = m_group.raft().m_instance;
  reply.m_admin =
      ToText(m_settings.m_mode == ServingMode::kRoutes ? m_settings.m_external
                                                       : m_settings.m_admin);
  reply.m_group_id = m_group.raft().m_config.m_config.m_group_id;
  reply.m_node = m_settings.m_node;
  m_links.Send(link, reply);
}

void ControlService::Handle(LinkId, const SuspectReport& report) {
  if (m_settings.m_mode == ServingMode::kRoutes) {
    AddReportedCrashes(report);
    return;
  }
  const Millis now = SteadyNow();
  for (const SuspectRow& row : report.m_rows) {
    const SuspectState state =
        row.m_state == 1 ? SuspectState::kQuarantined : SuspectState::kSuspect;
    MergeSuspectEntry(m_quarantine, row.m_fingerprint,
                      {state, now + Min(row.m_time_left, kQuarantineDuration)});
  }
  PushSuspects(report.m_rows);
}

void ControlService::Handle(LinkId link, RaftMessage message) {
  m_group.Receive(link, std::move(message));
}

void ControlService::OnLinkClosed(LinkId link) {
  m_nodes.erase(link);
  m_instance_replies.erase(link);
}

void ControlService::Tick() {
  const Millis now = SteadyNow();
  FollowLeadership();
  ResendGroupInit(now);
  if (!m_group.is_leader()) {
    return;
  }
  for (const NodeId& node : ExpireMembers(m_directory, now)) {
    LogLine(LogLevel::kWarning, "member_gone").With("node", node.value());
  }
  RemoveExpiredEntries(m_quarantine, now);
  for (auto& [link, node] : m_nodes) {
    PushState(link, node, now);
  }
  if (m_settings.m_mode == ServingMode::kRoutes) {
    // Calls in route mode have no idempotency keys, so they need no claims.
    return;
  }
  if (now >= m_next_claim_plan_at && !m_is_planning_claims) {
    m_next_claim_plan_at = now + kClaimPlanPeriod;
    m_is_planning_claims = true;
    m_loop.Spawn([this, now] {
      PlanClaims(now);
      m_is_planning_claims = false;
    });
  }
}

// The directory is not replicated. A new leader starts with an empty one, and a
// host that loses the leadership discards its directory. Called before each use
// of the directory, because an election may end between two ticks.
void ControlService::FollowLeadership() {
  const std::uint64_t term = m_group.raft().m_hard.m_term;
  const auto leading_term =
      m_group.is_leader() ? std::optional(term) : std::nullopt;
  if (leading_term == m_leading_term) {
    return;
  }
  m_leading_term = leading_term;
  m_nodes.clear();
  m_absent_since.clear();
  m_directory = leading_term ? StartDirectory(m_settings.m_node.value() + "-" +
                                                  std::to_string(term),
                                              SteadyNow())
                             : Directory();
  LogLine(LogLevel::kInfo, leading_term ? "leadership_won" : "leadership_lost")
      .With("term", term);
}

std::vector<SuspectRow> ControlService::CollectSuspects(Millis now) const {
  std::vector<SuspectRow> rows;
  for (const auto& [request, entry] : m_quarantine.m_entries) {
    rows.push_back(MakeSuspectRow(request, entry, now));
  }
  for (const auto& [request, count] : m_crash_counts.m_entries) {
    if (CrashesOf(m_crash_counts, request, now) >= kCrashesUntilBroadcast) {
      rows.push_back(MakeCrashRow(m_crash_counts, request, now));
    }
  }
  return rows;
}

// Adds up the crashes that nodes report, and sends the totals to all nodes.
void ControlService::AddReportedCrashes(const SuspectReport& report) {
  const Millis now = SteadyNow();
  std::vector<SuspectRow> rows;
  for (const SuspectRow& row : report.m_rows) {
    constexpr std::uint64_t kLifted = 2;
    if (row.m_state == kLifted) {
      if (ClearCrashes(m_crash_counts, row.m_fingerprint) > 0) {
        rows.push_back(row);
      }
      continue;
    }
    AddCrashes(m_crash_counts, row.m_fingerprint, row.m_crashes, now);
    if (CrashesOf(m_crash_counts, row.m_fingerprint, now) >=
        kCrashesUntilBroadcast) {
      rows.push_back(MakeCrashRow(m_crash_counts, row.m_fingerprint, now));
    }
  }
  if (!rows.empty()) {
    PushSuspects(rows);
  }
}

void ControlService::PushSuspects(const std::vector<SuspectRow>& rows) {
  SuspectReport report;
  report.m_rows = rows;
  for (const auto& [link, node] : m_nodes) {
    m_links.Send(link, report);
  }
}

// Assigns claim replicas to each service, and replaces those absent for long.
void ControlService::PlanClaims(Millis now) {
  if (!HasWarmedUp(m_directory, now)) {
    return;
  }
  std::vector<ReplicaCandidate> alive;
  std::map<ServiceName, ClaimReplicaSet> services = m_state.m_claim_sets;
  for (const auto& [name, member] : m_directory.m_members) {
    const MemberEntry& entry = member.m_entry;
    if (member.m_gone || entry.m_target.m_service.empty()) {
      continue;
    }
    alive.push_back({name, entry.m_incarnation, entry.m_peer,
                     entry.m_failure_domain, entry.m_target.m_service,
                     entry.m_target.m_leaving});
    services[entry.m_target.m_service].m_service = entry.m_target.m_service;
  }
  DowntimeByNode absences;
  for (const auto& [service, set] : services) {
    for (const ClaimReplicaInfo& member : set.m_members) {
      const auto known = m_directory.m_members.find(member.m_node);
      const bool is_present =
          known != m_directory.m_members.end() && !known->second.m_gone;
      if (is_present) {
        m_absent_since.erase(member.m_node);
        continue;
      }
      const auto since = m_absent_since.emplace(member.m_node, now).first;
      absences[member.m_node] = now - since->second;
    }
  }
  for (const auto& [service, set] : services) {
    const auto next = PlanClaimSet(set, alive, absences);
    if (next) {
      const auto committed =
          m_group.Commit(LogEntryKind::kClaimReplicaSet, EncodeFields(*next),
                         SteadyNow() + kCommitTimeout);
      LogLine(LogLevel::kInfo, "claim_replicas_set")
          .With("service", service.value())
          .With("epoch", next->m_epoch)
          .With("committed", committed ? "yes" : "no");
    }
  }
}

PolicyChangeOutcome ControlService::Change(const PolicyChange& change) {
  PolicyChangeOutcome outcome;
  if (!m_group.is_leader()) {
    outcome.m_kind = PolicyChangeOutcome::Kind::kNotLeader;
    return outcome;
  }
  // An invalid or forbidden change is rejected with all its findings before it
  // is appended to the log, once a majority has confirmed this leader.
  const PolicyChangeResult check =
      EvaluatePolicyChange(m_state.m_policy, change);
  if (check.m_status == PolicyChangeStatus::kInvalid ||
      check.m_status == PolicyChangeStatus::kForbidden) {
    const bool is_confirmed = ConfirmLeadership();
    outcome.m_kind = is_confirmed ? PolicyChangeOutcome::Kind::kEvaluated
                                  : PolicyChangeOutcome::Kind::kNotLeader;
    outcome.m_result = check;
    return outcome;
  }
  const auto committed =
      m_group.Commit(LogEntryKind::kPolicyChange, EncodeFields(change),
                     SteadyNow() + kCommitTimeout);
  const auto result =
      m_state.m_policy.m_results_by_change_id.find(change.m_change_id);
  if (!committed || result == m_state.m_policy.m_results_by_change_id.end()) {
    outcome.m_kind = PolicyChangeOutcome::Kind::kUnknown;
    outcome.m_reason =
        committed ? "the answer was not kept" : committed.reason();
    return outcome;
  }
  outcome.m_result = result->second;
  LogLine(LogLevel::kInfo, "policy_change")
      .With("section", change.m_section)
      .With("change_id", change.m_change_id)
      .With("actor", change.m_actor)
      .With("status", static_cast<int>(outcome.m_result.m_status))
      .With("revision", outcome.m_result.m_revision.value());
  return outcome;
}

bool ControlService::ConfirmLeadership() {
  return m_group.is_leader() &&
         m_group.ConfirmLeadership(SteadyNow() + kConfirmLeadershipTimeout);
}

bool ControlService::LiftQuarantine(Fingerprint request) {
  const bool lifted = RemoveSuspectEntry(m_quarantine, request);
  SuspectRow row;
  row.m_fingerprint = request;
  row.m_state = 2;
  PushSuspects({row});
  return lifted;
}

}  // namespace hemlockpoint
