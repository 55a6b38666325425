#ifndef HEMLOCKPOINT_DOCUMENTS_DOCUMENT_STORE_H_
#define HEMLOCKPOINT_DOCUMENTS_DOCUMENT_STORE_H_

#include <deque>
#include <string>
#include <unordered_map>

#include "hemlockpoint/base/result.h"
#include "hemlockpoint/routes/route_document.h"
#include "hemlockpoint/wire/call_messages.h"

namespace hemlockpoint {

/// @brief A request to replace the route document of version m_base by a full
/// new document.
struct DocumentChange {
  DocumentVersion m_base;
  /// Version of the new document.
  DocumentVersion m_version;
  /// The document's text as the writer sent it.
  Bytes m_text;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("b", self.m_base);
    visit("v", self.m_version);
    visit("t", self.m_text);
  }
};

/// @brief The outcome of a change.
enum class DocumentChangeStatus : unsigned char {
  /// The change can be applied, or was applied before.
  kAccepted,
  /// The change's base is not the current version.
  kConflict,
  /// The change's version is not higher than the current one.
  kVersionNotNewer,
};

/// @brief Maximum number of accepted changes that the store remembers, so that
/// a writer that resends one of them is told again that it was accepted.
inline constexpr std::size_t kMaxAcceptedChanges = 4096;

/// @brief The current route document, replicated by the control group, and the
/// last accepted changes.
struct DocumentStore {
  /// Version and text of the current document.
  DocumentVersion m_version;
  std::string m_text;
  /// Digests of the accepted changes, the oldest first.
  std::deque<Fingerprint> m_accepted_order;
  /// Version that each accepted change made, by the change's digest.
  std::unordered_map<Fingerprint, DocumentVersion> m_accepted;
};

/// @return A digest of the whole change. It is the same for a resend and
/// differs between different changes.
[[nodiscard]] Fingerprint ComputeDigest(const DocumentChange& change);

/// @return The status that a change would get, without applying it. A resend of
/// an accepted change is accepted again.
[[nodiscard]] DocumentChangeStatus EvaluateDocumentChange(
    const DocumentStore& store,
    const DocumentChange& change);

/// @brief Applies a committed change if it is accepted and new. The result
/// depends on the store and the change only, so that it is the same at every
/// member of the control group.
DocumentChangeStatus ApplyDocumentChange(DocumentStore& store,
                                         const DocumentChange& change);

/// @return The store encoded for a snapshot.
[[nodiscard]] std::string EncodeDocumentStore(const DocumentStore& store);

/// @return The store from an encoded one, or why it can't be decoded.
[[nodiscard]] Result<DocumentStore> DecodeDocumentStore(std::string_view bytes);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DOCUMENTS_DOCUMENT_STORE_H_
