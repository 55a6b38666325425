#ifndef HEMLOCKPOINT_DISPATCH_CALL_OUTCOME_H_
#define HEMLOCKPOINT_DISPATCH_CALL_OUTCOME_H_

#include <optional>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief How a call that held a slot of a target ended.
struct CallEnd {
  /// When the call arrived at the target's node.
  Millis m_arrival;
  /// When it got its slot.
  Millis m_started;
  Millis m_ended;
  Millis m_deadline;
  /// The request may have reached the target.
  bool m_is_dispatched = false;
  /// The caller has cancelled the call.
  bool m_is_cancelled = false;
  /// The target responded with a status below 500.
  bool m_is_success = false;
  /// A call that the target made for this one was refused, ran out of time or
  /// failed.
  bool m_has_failed_nested_call = false;
};

/// @return Whether the call used up the time that it had left when it got its
/// slot, also if its caller left shortly before the deadline.
[[nodiscard]] bool HasTimedOut(const CallEnd& end);

/// @brief Decides what the end of a call says about the load of the services
/// that its target calls.
/// @return Whether it failed in the way that an overload of these services
/// causes, or nothing if its end says nothing about them.
[[nodiscard]] std::optional<bool> IsDownstreamFailure(const CallEnd& end);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_CALL_OUTCOME_H_
