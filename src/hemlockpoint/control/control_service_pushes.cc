// The operations of ControlService that bring nodes up to date.

#include "hemlockpoint/control/control_service.h"
#include "hemlockpoint/log/log.h"

namespace hemlockpoint {

namespace {

constexpr Millis kPushResendInterval(1000);
// Bytes queued for a node from which on it is sent no further state.
constexpr std::size_t kMaxUnreadBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxDeltaResends = 2;
// A leader without a recent quorum ack may have been replaced, so the document
// that it would push could be outdated.
constexpr Millis kMaxPushQuorumAckAge(1500);

PolicyPush MakePolicyPush(const PolicyDocument& document,
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

// Sections removed after a revision, as far as the bounded history shows them.
std::vector<std::string> SectionsRemovedSince(const PolicyStore& store,
                                              Revision since) {
  std::vector<std::string> removed;
  for (const PolicyHistoryEntry& entry : store.m_history) {
    const bool is_removed =
        store.m_document.m_sections.count(entry.m_section) == 0;
    if (since < entry.m_revision && is_removed) {
      removed.push_back(entry.m_section);
    }
  }
  return removed;
}

}  // namespace

// Sends what the node lacks. A node that doesn't read gets the state as of the
// time at which it reads again.
void ControlService::PushState(LinkId link, NodeState& node, Millis now) {
  if (m_links.BufferedBytes(link) > kMaxUnreadBytes) {
    return;
  }
  PushDirectory(link, node, now);
  PushPolicy(link, node, now);
  PushClaimSets(link, node);
  PushDocument(link, node, now);
}

void ControlService::PushDirectory(LinkId link, NodeState& node, Millis now) {
  const DirectoryDelta delta =
      CollectDelta(node.m_subscriber, m_directory, now);
  if (delta.m_services.empty()) {
    return;
  }
  m_links.Send(link, delta);
  if (delta.m_is_full) {
    LogLine(LogLevel::kInfo, "members_sent")
        .With("node", node.m_node_id.value())
        .With("members", static_cast<std::uint64_t>(delta.m_changed.size()))
        .With("directory", m_directory.m_origin)
        .With("age_ms", (now - *m_directory.m_started).value());
  }
}

void ControlService::PushPolicy(LinkId link, NodeState& node, Millis now) {
  const PolicyDocument& document = m_state.m_policy.m_document;
  const bool is_up_to_date = node.m_revision == document.m_revision;
  const bool is_recently_sent =
      node.m_last_sent_revision == document.m_revision &&
      now - node.m_policy_sent_at < kPushResendInterval;
  const Millis proof_age = QuorumAckAge(m_group.raft(), now);
  if (is_up_to_date || is_recently_sent || proof_age > kMaxPushQuorumAckAge) {
    return;
  }
  // A resend carries the whole document, in case the node lacks a section.
  const bool is_resend = node.m_last_sent_revision == document.m_revision;
  const auto& history = m_state.m_policy.m_history;
  const bool is_history_truncated =
      history.empty() ||
      node.m_revision.value() + 1 < history.front().m_revision.value();
  const Revision since =
      is_resend || is_history_truncated ? Revision() : node.m_revision;
  PolicyPush push = MakePolicyPush(document, since, proof_age);
  push.m_removed = SectionsRemovedSince(m_state.m_policy, since);
  m_links.Send(link, push);
  node.m_last_sent_revision = document.m_revision;
  node.m_policy_sent_at = now;
}

void ControlService::PushClaimSets(LinkId link, NodeState& node) {
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

void ControlService::PushDocument(LinkId link, NodeState& node, Millis now) {
  const DocumentVersion newest = m_state.m_documents.m_version;
  if (!(node.m_document_version < newest)) {
    return;
  }
  // The next difference has to be based on the version that is in transit, and
  // the node may not have that one yet.
  const bool is_in_transit =
      node.m_document_version < node.m_last_sent_document;
  if (is_in_transit && now - node.m_document_sent_at < kPushResendInterval) {
    return;
  }
  // A difference that took long is sent once more. If the node still reports an
  // older version, it gets the whole document.
  const std::size_t resends = is_in_transit ? node.m_document_resends + 1 : 0;
  const auto push = m_documents.EncodedPushFor(
      node.m_document_version, resends >= kMaxDeltaResends, now);
  if (push && m_links.SendEncoded(link, *push)) {
    node.m_document_resends = resends;
    node.m_last_sent_document = newest;
    node.m_document_sent_at = now;
  }
}

}  // namespace hemlockpoint
