#include "hemlockpoint/control/document_service.h"

#include <utility>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/wire/codec.h"
#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

namespace {

constexpr Millis kCommitTimeout(3500);
constexpr Millis kConfirmLeadershipTimeout(1000);
// A push by a leader without fresh proof could carry an outdated document.
constexpr Millis kMaxPushQuorumAckAge(1500);
constexpr std::size_t kMaxRecentDocuments = 16;
// An encoded push is sent for so long, and its proof counts as no older than
// when it was made: with the limit above, it stays below the two seconds that
// nodes accept.
constexpr Millis kEncodedPushLifetime(300);

}  // namespace

DocumentService::DocumentService(RaftDriver& group,
                                 const ReplicatedState& state,
                                 DocumentParser reader)
    : m_group(group), m_state(state), m_reader(std::move(reader)) {}

DocumentOutcome DocumentService::NotLeader() const {
  DocumentOutcome answer;
  answer.m_kind = DocumentOutcome::Kind::kNotLeader;
  const GroupMember* leader = m_group.leader();
  if (leader != nullptr && leader->m_instance != m_group.raft().m_instance) {
    answer.m_leader = leader->m_admin;
  }
  answer.m_reason = "this host doesn't lead the control group";
  return answer;
}

DocumentOutcome DocumentService::Change(DocumentChange change) {
  DocumentOutcome answer;
  if (!m_group.is_leader()) {
    return NotLeader();
  }
  answer.m_version = change.m_version;
  const DocumentStore& store = m_state.m_documents;
  // An acceptance is committed and applied here, so it needs no proof; any
  // refusal does, since a newer leader may have accepted the same change.
  const bool known = store.m_accepted.count(DigestOf(change)) != 0;
  if (!known) {
    const Result<RouteDocument> document = m_reader(change.m_text.m_data);
    const DocumentChangeStatus verdict = EvaluateDocumentChange(store, change);
    const bool acceptable =
        document && verdict == DocumentChangeStatus::kAccepted;
    if (!acceptable) {
      if (!m_group.ConfirmLeadership(SteadyNow() + kConfirmLeadershipTimeout)) {
        return NotLeader();
      }
      const bool conflict =
          document && verdict == DocumentChangeStatus::kConflict;
      answer.m_kind = conflict ? DocumentOutcome::Kind::kConflict
                               : DocumentOutcome::Kind::kInvalid;
      answer.m_reason = "the version isn't above the one in force";
      if (!document) {
        answer.m_reason = document.reason();
      } else if (conflict) {
        answer.m_reason = "another version is in force";
      }
      return answer;
    }
    const auto committed =
        m_group.Commit(LogEntryKind::kDocument, EncodeFields(change),
                       SteadyNow() + kCommitTimeout);
    if (!committed) {
      answer.m_reason = committed.reason();
      return answer;
    }
  }
  const bool accepted = store.m_accepted.count(DigestOf(change)) != 0;
  answer.m_kind = accepted ? DocumentOutcome::Kind::kAccepted
                           : DocumentOutcome::Kind::kConflict;
  answer.m_reason = accepted ? (known ? "accepted before" : "committed")
                             : "another change was committed first";
  return answer;
}

DocumentOutcome DocumentService::Read() {
  if (!m_group.is_leader()) {
    return NotLeader();
  }
  DocumentOutcome answer;
  if (!m_group.ConfirmLeadership(SteadyNow() + kConfirmLeadershipTimeout)) {
    answer.m_reason = "no majority confirms this leader";
    return answer;
  }
  answer.m_kind = DocumentOutcome::Kind::kAccepted;
  answer.m_version = m_state.m_documents.m_version;
  answer.m_text = m_state.m_documents.m_text;
  return answer;
}

std::shared_ptr<const RouteDocument> DocumentService::Newest() {
  const DocumentStore& store = m_state.m_documents;
  const auto known = m_recent.find(store.m_version);
  if (known != m_recent.end()) {
    return known->second;
  }
  Result<RouteDocument> document = m_reader(store.m_text);
  if (!document) {
    // Only a document that was read before it was committed can be here.
    LogLine(LogLevel::kError, "document_unreadable")
        .With("version", store.m_version.value())
        .With("reason", document.reason());
    return nullptr;
  }
  auto shared = std::make_shared<const RouteDocument>(std::move(*document));
  m_recent[store.m_version] = shared;
  if (m_recent.size() > kMaxRecentDocuments) {
    m_recent.erase(m_recent.begin());
  }
  return shared;
}

std::shared_ptr<const std::string> DocumentService::EncodedPushFor(
    DocumentVersion version,
    bool whole,
    Millis now) {
  const DocumentVersion newest_version = m_state.m_documents.m_version;
  const Millis proof_age = QuorumAckAge(m_group.raft(), now);
  const bool current = !(version < newest_version);
  if (current || proof_age > kMaxPushQuorumAckAge) {
    return nullptr;
  }
  const auto older = m_recent.find(version);
  const bool differs = !whole && older != m_recent.end();
  EncodedPush& push = m_encoded_pushes[differs ? version : DocumentVersion()];
  const bool fresh = push.m_message && push.m_to_version == newest_version &&
                     now - push.m_encoded_at < kEncodedPushLifetime;
  if (fresh) {
    return push.m_message;
  }
  const std::shared_ptr<const RouteDocument> newest = Newest();
  if (!newest) {
    return nullptr;
  }
  DocumentPush message =
      MakeDocumentPush(differs ? older->second.get() : nullptr, *newest);
  message.m_quorum_ack_age = proof_age;
  push = {newest_version, now,
          std::make_shared<const std::string>(EncodeMessage(message))};
  const std::shared_ptr<const std::string> encoded = push.m_message;
  if (m_encoded_pushes.size() > kMaxRecentDocuments) {
    m_encoded_pushes.erase(m_encoded_pushes.begin());
  }
  return encoded;
}

}  // namespace hemlockpoint
