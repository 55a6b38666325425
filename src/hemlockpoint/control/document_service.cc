#include "hemlockpoint/control/document_service.h"

#include <utility>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/wire/codec.h"
#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

namespace {

constexpr Millis kCommitTimeout(3500);
constexpr Millis kConfirmLeadershipTimeout(1000);
// A leader without a recent quorum ack may have been replaced, so the document
// that it would push could be outdated.
constexpr Millis kMaxPushQuorumAckAge(1500);
constexpr std::size_t kMaxRecentDocuments = 16;
// An encoded push is reused for this time, and states the quorum ack's age at
// its encoding. Together with the limit above the true age stays below the two
// seconds that nodes accept.
constexpr Millis kEncodedPushLifetime(300);

}  // namespace

DocumentService::DocumentService(RaftDriver& group,
                                 const ReplicatedState& state,
                                 DocumentParser parse_document,
                                 std::function<std::string()> find_leader)
    : m_group(group),
      m_state(state),
      m_parse_document(std::move(parse_document)),
      m_find_leader(std::move(find_leader)) {}

DocumentOutcome DocumentService::MakeNotLeaderOutcome() const {
  DocumentOutcome outcome;
  outcome.m_kind = DocumentOutcome::Kind::kNotLeader;
  const GroupMember* leader = m_group.leader();
  if (leader != nullptr && leader->m_instance != m_group.raft().m_instance) {
    outcome.m_leader = leader->m_admin;
  } else if (leader == nullptr) {
    outcome.m_leader = m_find_leader();
  }
  outcome.m_reason = "this host doesn't lead the control group";
  return outcome;
}

DocumentOutcome DocumentService::Change(DocumentChange change) {
  DocumentOutcome outcome;
  if (!m_group.is_leader()) {
    return MakeNotLeaderOutcome();
  }
  outcome.m_version = change.m_version;
  const DocumentStore& store = m_state.m_documents;
  // An accepted change is committed and applied on this host, so it needs no
  // confirmation. A rejection needs one, since a newer leader may have accepted
  // the same change.
  const bool is_resend = store.m_accepted.count(ComputeDigest(change)) != 0;
  if (!is_resend) {
    const Result<RouteDocument> document =
        m_parse_document(change.m_text.m_data);
    const DocumentChangeStatus status = EvaluateDocumentChange(store, change);
    const bool is_acceptable =
        document && status == DocumentChangeStatus::kAccepted;
    if (!is_acceptable) {
      if (!m_group.ConfirmLeadership(SteadyNow() + kConfirmLeadershipTimeout)) {
        return MakeNotLeaderOutcome();
      }
      const bool is_conflict =
          document && status == DocumentChangeStatus::kConflict;
      outcome.m_kind = is_conflict ? DocumentOutcome::Kind::kConflict
                                   : DocumentOutcome::Kind::kInvalid;
      outcome.m_reason = "the version isn't above the one in force";
      if (!document) {
        outcome.m_reason = document.reason();
      } else if (is_conflict) {
        outcome.m_reason = "another version is in force";
      }
      return outcome;
    }
    const auto committed =
        m_group.Commit(LogEntryKind::kDocument, EncodeFields(change),
                       SteadyNow() + kCommitTimeout);
    if (!committed) {
      outcome.m_reason = committed.reason();
      return outcome;
    }
  }
  const bool is_accepted = store.m_accepted.count(ComputeDigest(change)) != 0;
  outcome.m_kind = is_accepted ? DocumentOutcome::Kind::kAccepted
                               : DocumentOutcome::Kind::kConflict;
  outcome.m_reason = is_accepted ? (is_resend ? "accepted before" : "committed")
                                 : "another change was committed first";
  return outcome;
}

DocumentOutcome DocumentService::Read() {
  if (!m_group.is_leader()) {
    return MakeNotLeaderOutcome();
  }
  DocumentOutcome outcome;
  if (!m_group.ConfirmLeadership(SteadyNow() + kConfirmLeadershipTimeout)) {
    outcome.m_reason = "no majority confirms this leader";
    return outcome;
  }
  outcome.m_kind = DocumentOutcome::Kind::kAccepted;
  outcome.m_version = m_state.m_documents.m_version;
  outcome.m_text = m_state.m_documents.m_text;
  return outcome;
}

std::shared_ptr<const RouteDocument> DocumentService::LoadNewestDocument() {
  const DocumentStore& store = m_state.m_documents;
  if (auto cached = FindRecentDocument(store.m_version)) {
    return cached;
  }
  Result<RouteDocument> document = m_parse_document(store.m_text);
  if (!document) {
    // Documents are parsed before they are committed, so this is not expected.
    LogLine(LogLevel::kError, "document_unreadable")
        .With("version", store.m_version.value())
        .With("reason", document.reason());
    return nullptr;
  }
  auto shared = std::make_shared<const RouteDocument>(std::move(*document));
  m_recent_documents[store.m_version] = shared;
  if (m_recent_documents.size() > kMaxRecentDocuments) {
    m_recent_documents.erase(m_recent_documents.begin());
  }
  return shared;
}

std::shared_ptr<const RouteDocument> DocumentService::FindRecentDocument(
    DocumentVersion version) const {
  const auto found = m_recent_documents.find(version);
  return found == m_recent_documents.end() ? nullptr : found->second;
}

std::shared_ptr<const std::string> DocumentService::EncodedPushFor(
    DocumentVersion version,
    bool is_full,
    Millis now) {
  const DocumentVersion newest_version = m_state.m_documents.m_version;
  const Millis quorum_ack_age = QuorumAckAge(m_group.raft(), now);
  const bool is_up_to_date = !(version < newest_version);
  if (is_up_to_date || quorum_ack_age > kMaxPushQuorumAckAge) {
    return nullptr;
  }
  // Loading the newest document may drop the one that the node has.
  const std::shared_ptr<const RouteDocument> newest = LoadNewestDocument();
  if (!newest) {
    return nullptr;
  }
  const std::shared_ptr<const RouteDocument> older =
      is_full ? nullptr : FindRecentDocument(version);
  if (m_encoded_version != newest_version) {
    m_encoded_pushes.clear();
    m_encoded_version = newest_version;
  }
  EncodedPush& push = m_encoded_pushes[older ? version : DocumentVersion()];
  if (!push.m_message || now - push.m_encoded_at >= kEncodedPushLifetime) {
    DocumentPush message = MakeDocumentPush(older.get(), *newest);
    message.m_quorum_ack_age = quorum_ack_age;
    push = {now, std::make_shared<const std::string>(EncodeMessage(message))};
  }
  return push.m_message;
}

}  // namespace hemlockpoint
