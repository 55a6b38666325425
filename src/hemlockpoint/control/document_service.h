#ifndef HEMLOCKPOINT_CONTROL_DOCUMENT_SERVICE_H_
#define HEMLOCKPOINT_CONTROL_DOCUMENT_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "hemlockpoint/control/raft_driver.h"
#include "hemlockpoint/control/replicated_state.h"
#include "hemlockpoint/documents/document_delta.h"

namespace hemlockpoint {

/// @brief Parses a route document from the text that operators send.
using DocumentParser =
    std::function<Result<RouteDocument>(const std::string& text)>;

/// @brief The outcome of an operator's read or change of the route document.
struct DocumentOutcome {
  enum class Kind {
    kAccepted,
    kConflict,
    kInvalid,
    /// This host isn't the leader; the request must be sent to m_leader.
    kNotLeader,
    /// For a change: it is unknown whether the change was committed. For a
    /// read: it is unknown which document is the newest.
    kUnknown,
  };
  Kind m_kind = Kind::kUnknown;
  std::string m_reason;
  /// Operator endpoint of the leader; empty when unknown.
  std::string m_leader;
  /// After a read: the text of the document in force.
  std::string m_text;
  DocumentVersion m_version;
};

/// @brief Commits and reads the route document for operators, and encodes the
/// messages that bring nodes up to date.
class DocumentService {
 public:
  /// @param find_leader Returns the operator endpoint of the leader that
  /// replies to a host outside the group, or nothing if there is none.
  DocumentService(RaftDriver& group,
                  const ReplicatedState& state,
                  DocumentParser parse_document,
                  std::function<std::string()> find_leader);

  /// @brief Commits a change. Must run on a fiber.
  [[nodiscard]] DocumentOutcome Change(DocumentChange change);

  /// @brief Reads the newest document. Must run on a fiber.
  [[nodiscard]] DocumentOutcome Read();

  /// @brief Makes the message that updates a node to the newest document. Nodes
  /// with the same version share one encoded message.
  /// @param version Version of the document that the node has.
  /// @param is_full Whether to send the whole document instead of a difference.
  /// @return The encoded message; null when the node has the newest document,
  /// or when this host has no recent quorum ack or can't parse the document.
  [[nodiscard]] std::shared_ptr<const std::string>
  EncodedPushFor(DocumentVersion version, bool is_full, Millis now);

 private:
  DocumentOutcome MakeNotLeaderOutcome() const;
  std::shared_ptr<const RouteDocument> LoadNewestDocument();
  /// @return The document, or null if it isn't among the recent ones.
  [[nodiscard]] std::shared_ptr<const RouteDocument> FindRecentDocument(
      DocumentVersion version) const;

  RaftDriver& m_group;
  const ReplicatedState& m_state;
  DocumentParser m_parse_document;
  std::function<std::string()> m_find_leader;
  // An encoded push to the nodes that have one version.
  struct EncodedPush {
    Millis m_encoded_at;
    std::shared_ptr<const std::string> m_message;
  };
  /// Pushes of m_encoded_version, by the version that the difference is based
  /// on; 0 for the whole document.
  std::map<DocumentVersion, EncodedPush> m_encoded_pushes;
  DocumentVersion m_encoded_version;
  /// Recent documents, from which differences are computed.
  std::map<DocumentVersion, std::shared_ptr<const RouteDocument>>
      m_recent_documents;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_DOCUMENT_SERVICE_H_
