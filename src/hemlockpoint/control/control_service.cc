#include "hemlockpoint/control/control_service.h"

#include <algorithm>
#include <utility>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

namespace {

// Changes within one period go out together.
constexpr Millis kPushPeriod(100);
constexpr Millis kCommitTimeout(4000);
constexpr Millis kConfirmLeadershipTimeout(1500);
constexpr Millis kPushResendInterval(1000);
constexpr std::size_t kMaxDeltaResends = 2;
constexpr Millis kClaimPlanPeriod(1000);
constexpr Millis kGroupInitPeriod(1000);
// A push by a leader without fresh proof could carry an outdated document.
constexpr Millis kMaxPushQuorumAckAge(1500);

PolicyPush MakePush(const PolicyDocument& document,
                    Revision since,
                    Millis proof_age) {
  PolicyPush push;
  push.m_revision = document.m_revision;
  push.m_since = since;
  push.m_quorum_ack_age = proof_age;
  for (const auto& [name, section] : document.m_sections) {
    if (since < section.m_revision) {
      push.m_changed.push_back({name, section.m_revision, section.m_text});
    }
  }
  return push;
}

// Sections that were removed after a revision, as far as the history goes.
std::vector<std::string> SectionsRemovedSince(const PolicyStore& store,
                                              Revision since) {
  std::vector<std::string> removed;
  for (const PolicyHistoryEntry& entry : store.m_history) {
    const bool gone = store.m_document.m_sections.count(entry.m_section) == 0;
    if (since < entry.m_revision && gone) {
      removed.push_back(entry.m_section);
    }
  }
  return removed;
}

SuspectRow RowOf(Fingerprint request, const SuspectEntry& entry, Millis now) {
  SuspectRow row;
  row.m_fingerprint = request;
  row.m_state = entry.m_state == SuspectState::kQuarantined ? 1 : 0;
  row.m_time_left = entry.m_expires - now;
  return row;
}

SuspectRow SumOf(const CrashCounts& counts, Fingerprint request, Millis now) {
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
                               DocumentParser reader)
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
      m_documents(m_group, m_state, std::move(reader)),
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
  HeartbeatAck ack;
  ack.m_is_leader = m_group.is_leader();
  ack.m_quorum_ack_age = Min(QuorumAckAge(m_group.raft(), now), Millis(1e9));
  ack.m_revision = m_state.m_policy.m_document.m_revision;
  if (const GroupMember* leader = m_group.leader()) {
    ack.m_leader = leader->m_peer;
  }
  return ack;
}

void ControlService::Handle(LinkId link, const HostHeartbeat& beat) {
  m_reconciler.Handle(beat);
  m_links.Send(link, MakeAck(SteadyNow()));
}

void ControlService::Handle(const HeartbeatAck& ack) {
  m_reconciler.Handle(ack);
}

void ControlService::Handle(LinkId link, const Heartbeat& heartbeat) {
  const Millis now = SteadyNow();
  HeartbeatAck ack = MakeAck(now);
  // The hosts are told once to each node that a leader hears of, and to
  // those that are still looking for it.
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
  Node& node = m_nodes[link];
  node.m_name = heartbeat.m_member.m_node;
  node.m_revision = heartbeat.m_member.m_revision;
  node.m_document = heartbeat.m_member.m_document;
  UpdateInterests(node.m_subscriber, m_directory, heartbeat);
  if (is_new) {
    SuspectReport report;
    report.m_rows = CollectSuspects(now);
    if (!report.m_rows.empty()) {
      m_links.Send(link, report);
    }
  }
  PushDirectory(link, node, now);
  PushPolicy(link, node, now);
  PushClaimSets(link, node);
  PushDocument(link, node, now);
}

void ControlService::Handle(LinkId, const GroupInit& init) {
  const bool invited =
      FindMemberByInstance(init.m_config, m_group.raft().m_instance) != nullptr;
  if (invited && !IsInGroup(m_group.raft())) {
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
      ToText(m_settings.m_mode == ServingMode::kRoutes ? m_settings.m_outside
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
  HandleRoleChange();
  ResendGroupInit(now);
  if (!m_group.is_leader()) {
    return;
  }
  for (const NodeId& node : ExpireMembers(m_directory, now)) {
    LogLine(LogLevel::kWarning, "member_gone").With("node", node.value());
  }
  RemoveExpiredEntries(m_quarantine, now);
  for (auto& [link, node] : m_nodes) {
    PushDirectory(link, node, now);
    PushPolicy(link, node, now);
    PushClaimSets(link, node);
    PushDocument(link, node, now);
  }
  if (m_settings.m_mode == ServingMode::kRoutes) {
    // Calls by routes have no idempotency keys, and so no claims.
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

// A directory is the leader's own: a new leader starts an empty one, and a
// former leader forgets its.
void ControlService::HandleRoleChange() {
  const bool leads = m_group.is_leader();
  if (leads == m_was_leader) {
    return;
  }
  m_was_leader = leads;
  m_nodes.clear();
  m_absent_since.clear();
  m_directory = Directory();
  m_directory.m_started = SteadyNow();
  m_directory.m_origin = m_settings.m_node.value() + "-" +
                         std::to_string(m_group.raft().m_hard.m_term);
  LogLine(LogLevel::kInfo, leads ? "leadership_won" : "leadership_lost")
      .With("term", m_group.raft().m_hard.m_term);
}

void ControlService::PushDirectory(LinkId link, Node& node, Millis now) {
  const DirectoryDelta delta =
      CollectDelta(node.m_subscriber, m_directory, now);
  if (!delta.m_services.empty()) {
    m_links.Send(link, delta);
  }
}

void ControlService::PushPolicy(LinkId link, Node& node, Millis now) {
  const PolicyDocument& document = m_state.m_policy.m_document;
  const bool current = node.m_revision == document.m_revision;
  const bool just_sent = node.m_last_sent_revision == document.m_revision &&
                         now - node.m_policy_sent_at < kPushResendInterval;
  const Millis proof_age = QuorumAckAge(m_group.raft(), now);
  if (current || just_sent || proof_age > kMaxPushQuorumAckAge) {
    return;
  }
  // A resend carries the whole document, in case the node lacks a section.
  const bool resend = node.m_last_sent_revision == document.m_revision;
  const auto& history = m_state.m_policy.m_history;
  const bool forgotten =
      history.empty() ||
      node.m_revision.value() + 1 < history.front().m_revision.value();
  const Revision since = resend || forgotten ? Revision() : node.m_revision;
  PolicyPush push = MakePush(document, since, proof_age);
  push.m_removed = SectionsRemovedSince(m_state.m_policy, since);
  m_links.Send(link, push);
  node.m_last_sent_revision = document.m_revision;
  node.m_policy_sent_at = now;
}

void ControlService::PushClaimSets(LinkId link, Node& node) {
  if (node.m_sent_claim_sets_version == m_claim_sets_version) {
    return;
  }
  node.m_sent_claim_sets_version = m_claim_sets_version;
  ClaimReplicaSets sets;
  for (const auto& [service, set] : m_state.m_claim_sets) {
    sets.m_sets.push_back(set);
  }
  m_links.Send(link, sets);
}

void ControlService::PushDocument(LinkId link, Node& node, Millis now) {
  const DocumentVersion newest = m_state.m_documents.m_version;
  if (!(node.m_document < newest)) {
    return;
  }
  const bool resend = node.m_last_sent_document == newest;
  if (resend && now - node.m_document_sent_at < kPushResendInterval) {
    return;
  }
  // The difference may be on its way still; a node that doesn't take it
  // twice gets the whole document.
  const std::size_t resends = resend ? node.m_document_resends + 1 : 0;
  const auto push = m_documents.EncodedPushFor(
      node.m_document, resends >= kMaxDeltaResends, now);
  if (push && m_links.SendEncoded(link, *push)) {
    node.m_document_resends = resends;
    node.m_last_sent_document = newest;
    node.m_document_sent_at = now;
  }
}

std::vector<SuspectRow> ControlService::CollectSuspects(Millis now) const {
  std::vector<SuspectRow> rows;
  for (const auto& [request, entry] : m_quarantine.m_entries) {
    rows.push_back(RowOf(request, entry, now));
  }
  for (const auto& [request, count] : m_crashes.m_entries) {
    if (CrashesOf(m_crashes, request, now) >= kCrashesUntilBroadcast) {
      rows.push_back(SumOf(m_crashes, request, now));
    }
  }
  return rows;
}

// Nodes add the crashes that they see, and are told the sums.
void ControlService::AddReportedCrashes(const SuspectReport& report) {
  const Millis now = SteadyNow();
  std::vector<SuspectRow> rows;
  for (const SuspectRow& row : report.m_rows) {
    constexpr std::uint64_t kLifted = 2;
    if (row.m_state == kLifted) {
      if (ClearCrashes(m_crashes, row.m_fingerprint) > 0) {
        rows.push_back(row);
      }
      continue;
    }
    AddCrashes(m_crashes, row.m_fingerprint, row.m_crashes, now);
    if (CrashesOf(m_crashes, row.m_fingerprint, now) >=
        kCrashesUntilBroadcast) {
      rows.push_back(SumOf(m_crashes, row.m_fingerprint, now));
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

// Each service of the directory gets claim replicas, and a replica that has
// been gone for long is replaced.
void ControlService::PlanClaims(Millis now) {
  if (now - m_directory.m_started < kDirectoryWarmUp) {
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
      const bool here =
          known != m_directory.m_members.end() && !known->second.m_gone;
      if (here) {
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

// The first members learn their configuration from whoever has it, since
// none of them can lead before a majority does.
void ControlService::ResendGroupInit(Millis now) {
  const RaftState& raft = m_group.raft();
  const bool young = IsInGroup(raft) && raft.m_leader.empty() &&
                     raft.m_log.m_snapshot.m_index == 0 &&
                     LastIndex(raft.m_log) == 1;
  if (!young || now < m_next_group_init_at) {
    return;
  }
  m_next_group_init_at = now + kGroupInitPeriod;
  for (const GroupMember& member : raft.m_config.m_config.m_members) {
    const auto peer = ParseEndpoint(member.m_peer);
    if (peer && member.m_instance != raft.m_instance) {
      m_links.SendTo(*peer, GroupInit{raft.m_config.m_config});
    }
  }
}

PolicyChangeOutcome ControlService::Change(const PolicyChange& change) {
  PolicyChangeOutcome outcome;
  if (!m_group.is_leader()) {
    outcome.m_kind = PolicyChangeOutcome::Kind::kNotLeader;
    return outcome;
  }
  // Faults that no race can mend are told at once, all together.
  const PolicyChangeResult check =
      EvaluatePolicyChange(m_state.m_policy, change);
  if (check.m_status == PolicyChangeStatus::kInvalid ||
      check.m_status == PolicyChangeStatus::kForbidden) {
    const bool proved = ConfirmLeadership();
    outcome.m_kind = proved ? PolicyChangeOutcome::Kind::kAnswered
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
