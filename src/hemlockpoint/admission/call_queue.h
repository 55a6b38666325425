#ifndef HEMLOCKPOINT_ADMISSION_CALL_QUEUE_H_
#define HEMLOCKPOINT_ADMISSION_CALL_QUEUE_H_

#include <array>
#include <functional>
#include <optional>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/policy/policy.h"

namespace hemlockpoint {

/// @brief A call that waits at its target's node.
struct QueuedCall {
  CallId m_call;
  std::size_t m_class = 0;
  /// Class index plus the root request's fraction; lower goes last.
  double m_rank = 0;
  Millis m_arrival;
  Millis m_deadline;
  KindName m_kind;
  bool m_long = false;
  bool m_suspect = false;
};

/// @brief Calls that wait for one target, by priority class.
struct CallQueue {
  std::array<std::vector<QueuedCall>, kMaxClasses> m_classes;
  std::size_t m_size = 0;
  /// When the queue was last seen empty; meaningful while it is not.
  Millis m_last_empty;
};

/// @brief Time without an empty queue after which the newest call goes first.
inline constexpr Millis kStandingQueueAfter(100);

/// @brief Adds a call to a queue of at most `bound` calls. When it is full,
/// the least important call gives way, with the latest deadline among equals.
/// @return The call that got no place, which may be the new one.
[[nodiscard]] std::optional<QueuedCall> Enqueue(CallQueue& queue,
                                                QueuedCall call,
                                                std::size_t bound,
                                                Millis now);

/// @brief Takes the next call among those that may run now: the most
/// important class, then the earliest deadline, or the newest arrival while
/// the queue is standing.
/// @param may_run Whether a call can be dispatched at this moment.
[[nodiscard]] std::optional<QueuedCall> DequeueNext(
    CallQueue& queue,
    const std::function<bool(const QueuedCall&)>& may_run,
    Millis now);

/// @brief Takes out every call for which `is_lost` holds.
[[nodiscard]] std::vector<QueuedCall> DequeueIf(
    CallQueue& queue,
    const std::function<bool(const QueuedCall&)>& is_lost);

/// @brief Takes one call out, such as a cancelled one.
/// @return Whether it was waiting.
bool RemoveCall(CallQueue& queue, CallId call);

/// @return How long the longest-waiting short call has waited; zero when there
/// is none. Long work that waits for its share is no sign of overload.
[[nodiscard]] Millis LongestShortCallWait(const CallQueue& queue, Millis now);

/// @return Whether the queue has not been empty for kStandingQueueAfter.
[[nodiscard]] bool IsStanding(const CallQueue& queue, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ADMISSION_CALL_QUEUE_H_
