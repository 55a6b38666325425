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

/// @brief Reads a route document in the form in which operators send it.
using DocumentParser =
    std::function<Result<RouteDocument>(const std::string& text)>;

/// @brief How an operator's call about the route document has ended.
struct DocumentOutcome {
  enum class Kind {
    kAccepted,
    kConflict,
    kInvalid,
    /// This host doesn't lead; m_leader may be asked.
    kNotLeader,
    /// It is not known whether the change was committed, or which document
    /// is the newest.
    kUnknown,
  };
  Kind m_kind = Kind::kUnknown;
  std::string m_reason;
  /// Operator endpoint of the leader where known.
  std::string m_leader;
  /// The document in force, after a read.
  std::string m_text;
  DocumentVersion m_version;
};

/// @brief Takes changes of the route document, and hands it to nodes.
class DocumentService {
 public:
  DocumentService(RaftDriver& group,
                  const ReplicatedState& state,
                  DocumentParser reader);

  /// @brief Commits a change; used on a fiber.
  [[nodiscard]] DocumentOutcome Change(DocumentChange change);

  /// @brief Reads the newest document; used on a fiber.
  [[nodiscard]] DocumentOutcome Read();

  /// @brief Makes what a node needs that has a document of some version. Nodes
  /// with the same version share the message.
  /// @return The encoded message; null when the node has the newest, or this
  /// host can't be sure of it.
  [[nodiscard]] std::shared_ptr<const std::string>
  EncodedPushFor(DocumentVersion version, bool whole, Millis now);

 private:
  DocumentOutcome NotLeader() const;
  std::shared_ptr<const RouteDocument> Newest();

  RaftDriver& m_group;
  const ReplicatedState& m_state;
  DocumentParser m_reader;
  // An encoded push to nodes of one version.
  struct EncodedPush {
    DocumentVersion m_to_version;
    Millis m_encoded_at;
    std::shared_ptr<const std::string> m_message;
  };
  /// By the version that it builds on; 0 for the whole document.
  std::map<DocumentVersion, EncodedPush> m_encoded_pushes;
  /// Documents of late, for differences.
  std::map<DocumentVersion, std::shared_ptr<const RouteDocument>> m_recent;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_DOCUMENT_SERVICE_H_
