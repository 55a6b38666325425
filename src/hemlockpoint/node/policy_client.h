#ifndef HEMLOCKPOINT_NODE_POLICY_CLIENT_H_
#define HEMLOCKPOINT_NODE_POLICY_CLIENT_H_

#include "hemlockpoint/node/context.h"
#include "hemlockpoint/wire/policy_messages.h"

namespace hemlockpoint {

/// @brief Takes in the policy document and the suspects that the control
/// group pushes.
class PolicyClient {
 public:
  explicit PolicyClient(NodeContext& core) : m_context(core) {}

  /// @brief Puts a pushed document in force. One that is older than what is
  /// in force, or that no majority has confirmed lately, changes nothing.
  /// @return Whether the document changed.
  bool Handle(const PolicyPush& push);

  void Handle(const SuspectReport& report);

  /// @brief Notes that a leader has no document yet.
  void OnEmptyDocument() { m_context.m_is_policy_known = true; }

 private:
  NodeContext& m_context;
};

/// @brief Builds the document that a push leads to.
/// @return The document, or nothing when the push doesn't build on `current`
/// or isn't newer.
[[nodiscard]] std::optional<PolicyDocument> ApplyPush(
    const PolicyDocument& current,
    const PolicyPush& push);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_POLICY_CLIENT_H_
