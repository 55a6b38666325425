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

/// @brief A call in execution at the target beside this node. The nested calls
/// that the target makes for it are charged to its budget.
struct TargetCall {
  RequestId m_root;
  CallerName m_caller;
  KindName m_kind;
  std::size_t m_class = 0;
  /// Number of calls above this one in its call tree.
  std::uint64_t m_depth = 0;
  Millis m_deadline;
  RetryBudget m_budget;
  /// Functions that cancel the nested calls in flight, by call number.
  std::map<std::uint64_t, std::function<void()>> m_cancel_children;
  std::uint64_t m_last_child_number = 0;
};

/// @brief Calls in execution by the call id that the target received.
using TargetCalls = std::unordered_map<std::string, TargetCall>;

/// @brief Removes a call and cancels its nested calls in flight. Does nothing
/// if the id is unknown.
void EndTargetCall(TargetCalls& calls, const std::string& id);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ENTRY_TARGET_CALLS_H_
