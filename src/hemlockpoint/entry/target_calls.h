#ifndef HEMLOCKPOINT_ENTRY_TARGET_CALLS_H_
#define HEMLOCKPOINT_ENTRY_TARGET_CALLS_H_

#include <functional>
#include <map>
#include <string>
#include <unordered_map>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/retry/budget.h"

namespace hemlockpoint {

/// @brief A call that runs at the target beside this node, to which the
/// target's own calls are charged.
struct TargetCall {
  RequestId m_root;
  CallerName m_caller;
  KindName m_kind;
  std::size_t m_class = 0;
  std::uint64_t m_depth = 0;
  Millis m_deadline;
  RetryBudget m_budget;
  /// Ends each child call in progress, by its number.
  std::map<std::uint64_t, std::function<void()>> m_cancel_children;
  std::uint64_t m_last_child_number = 0;
};

/// @brief Running inbound calls by the id that the target was given.
using TargetCalls = std::unordered_map<std::string, TargetCall>;

/// @brief Removes a record and cancels the child calls still in progress.
void EndTargetCall(TargetCalls& records, const std::string& id);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ENTRY_TARGET_CALLS_H_
