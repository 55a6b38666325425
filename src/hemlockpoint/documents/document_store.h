#ifndef HEMLOCKPOINT_DOCUMENTS_DOCUMENT_STORE_H_
#define HEMLOCKPOINT_DOCUMENTS_DOCUMENT_STORE_H_

#include <deque>
#include <string>
#include <unordered_map>

#include "hemlockpoint/base/result.h"
#include "hemlockpoint/routes/route_document.h"
#include "hemlockpoint/wire/call_messages.h"

namespace hemlockpoint {

/// @brief A whole route document that is to replace the one of version
/// m_base.
struct DocumentChange {
  DocumentVersion m_base;
  DocumentVersion m_version;
  /// The document as its writer sent it.
  Bytes m_text;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("b", self.m_base);
    visit("v", self.m_version);
    visit("t", self.m_text);
  }
};

/// @brief How a change stands to the document in force.
enum class DocumentChangeStatus : unsigned char {
  /// It is in force, or was until a later change.
  kAccepted,
  /// Its base isn't the version in force.
  kConflict,
  /// Its version isn't above the one in force.
  kVersionNotNewer,
};

/// @brief Changes whose acceptance is remembered for writers that resend.
inline constexpr std::size_t kMaxAcceptedChanges = 4096;

/// @brief The route document in force, replicated by the control group, and
/// the changes that led to it.
struct DocumentStore {
  DocumentVersion m_version;
  std::string m_text;
  /// Digests of accepted changes, the oldest first.
  std::deque<Fingerprint> m_accepted_order;
  std::unordered_map<Fingerprint, DocumentVersion> m_accepted;
};

/// @return A number that names a change: the same for a resend, and another
/// for any other change.
[[nodiscard]] Fingerprint DigestOf(const DocumentChange& change);

/// @brief Judges a change without applying it. A change that was accepted
/// before is accepted again.
[[nodiscard]] DocumentChangeStatus EvaluateDocumentChange(
    const DocumentStore& store,
    const DocumentChange& change);

/// @brief Applies a committed change; every member decides alike.
DocumentChangeStatus ApplyDocumentChange(DocumentStore& store,
                                         const DocumentChange& change);

/// @return The store as bytes, for snapshots.
[[nodiscard]] std::string EncodeDocumentStore(const DocumentStore& store);
[[nodiscard]] Result<DocumentStore> DecodeDocumentStore(std::string_view bytes);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DOCUMENTS_DOCUMENT_STORE_H_
