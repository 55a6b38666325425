#include "hemlockpoint/documents/document_store.h"

#include <utility>
#include <vector>

#include "hemlockpoint/base/digest.h"
#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

namespace {

struct StoredAcceptedChange {
  Fingerprint m_digest;
  DocumentVersion m_version;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("d", self.m_digest);
    visit("v", self.m_version);
  }
};

struct StoredDocumentState {
  DocumentVersion m_version;
  Bytes m_text;
  std::vector<StoredAcceptedChange> m_accepted;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("version", self.m_version);
    visit("text", self.m_text);
    visit("accepted", self.m_accepted);
  }
};

void RecordAccepted(DocumentStore& store,
                    Fingerprint digest,
                    DocumentVersion version) {
  store.m_accepted[digest] = version;
  store.m_accepted_order.push_back(digest);
  if (store.m_accepted_order.size() > kMaxAcceptedChanges) {
    store.m_accepted.erase(store.m_accepted_order.front());
    store.m_accepted_order.pop_front();
  }
}

}  // namespace

Fingerprint ComputeDigest(const DocumentChange& change) {
  return ComputeDigest({std::to_string(change.m_base.value()),
                        std::to_string(change.m_version.value()),
                        change.m_text.m_data});
}

DocumentChangeStatus EvaluateDocumentChange(const DocumentStore& store,
                                            const DocumentChange& change) {
  if (store.m_accepted.count(ComputeDigest(change)) != 0) {
    return DocumentChangeStatus::kAccepted;
  }
  if (change.m_base != store.m_version) {
    return DocumentChangeStatus::kConflict;
  }
  return store.m_version < change.m_version
             ? DocumentChangeStatus::kAccepted
             : DocumentChangeStatus::kVersionNotNewer;
}

DocumentChangeStatus ApplyDocumentChange(DocumentStore& store,
                                         const DocumentChange& change) {
  const DocumentChangeStatus status = EvaluateDocumentChange(store, change);
  const Fingerprint digest = ComputeDigest(change);
  if (status == DocumentChangeStatus::kAccepted &&
      store.m_accepted.count(digest) == 0) {
    store.m_version = change.m_version;
    store.m_text = change.m_text.m_data;
    RecordAccepted(store, digest, change.m_version);
  }
  return status;
}

std::string EncodeDocumentStore(const DocumentStore& store) {
  StoredDocumentState stored;
  stored.m_version = store.m_version;
  stored.m_text.m_data = store.m_text;
  for (const Fingerprint digest : store.m_accepted_order) {
    stored.m_accepted.push_back({digest, store.m_accepted.at(digest)});
  }
  return EncodeFields(stored);
}

Result<DocumentStore> DecodeDocumentStore(std::string_view bytes) {
  auto stored = DecodeFields<StoredDocumentState>(bytes);
  if (!stored) {
    return Result<DocumentStore>::Failure(stored.reason());
  }
  DocumentStore store;
  store.m_version = stored->m_version;
  store.m_text = std::move(stored->m_text.m_data);
  for (const StoredAcceptedChange& row : stored->m_accepted) {
    RecordAccepted(store, row.m_digest, row.m_version);
  }
  return store;
}

}  // namespace hemlockpoint
