#ifndef HEMLOCKPOINT_NODE_POLICY_CLIENT_H_
#define HEMLOCKPOINT_NODE_POLICY_CLIENT_H_

#include "hemlockpoint/node/context.h"
#include "hemlockpoint/wire/policy_messages.h"

namespace hemlockpoint {

/// @brief Applies the policy documents and the suspect reports that the
/// control group pushes.
class PolicyClient {
 public:
  explicit PolicyClient(NodeContext& context) : m_context(context) {}

  /// @brief Puts a pushed document in force. Ignores a push that is not newer
  /// than the document in force, whose base revision is newer than that
  /// document, whose sender lacks a recent quorum ack, or that doesn't compile.
  /// @return Whether the document in force changed.
  bool Handle(const PolicyPush& push);

  /// @brief Applies a report of suspected and quarantined requests, and of
  /// requests whose suspicion or quarantine has ended.
  void Handle(const SuspectReport& report);

  /// @brief Records that the leader has no document yet, so that the default
  /// policy is the known one.
  void OnNoDocument() { m_context.m_is_policy_known = true; }

 private:
  NodeContext& m_context;
};

/// @brief Applies a push to a document.
/// @return The new document. Nothing if the push is not newer than `current`,
/// its base revision is newer than `current`, or its sender lacks a recent
/// quorum ack.
[[nodiscard]] std::optional<PolicyDocument> ApplyPush(
    const PolicyDocument& current,
    const PolicyPush& push);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_POLICY_CLIENT_H_
