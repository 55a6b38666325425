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

/// @brief A call that waits at the node of its target.
struct QueuedCall {
  CallId m_call;
  std::size_t m_class = 0;
  /// As returned by RankOf(). The lower the rank, the more important the call.
  double m_rank = 0;
  Millis m_arrival;
  Millis m_deadline;
  KindName m_kind;
  bool m_long = false;
  bool m_suspect = false;
};

/// @brief Calls that wait for one target, by priority class.
struct CallQueue {
  /// The calls of a class are in no particular order.
  std::array<std::vector<QueuedCall>, kMaxClasses> m_classes;
  std::size_t m_size = 0;
  /// Time at which the queue was last empty; valid while it is not empty.
  Millis m_last_empty;
};

/// @brief Time after which a queue that never became empty is a standing queue,
/// as in CoDel.
/// In a standing queue, the newest call of a class is served first.
inline constexpr Millis kStandingQueueAfter(100);

/// @brief Adds a call to a queue of at most `capacity` calls. A call in a full
/// queue displaces the call with the latest deadline in the least important
/// non-empty class, provided that class is less important than its own.
/// @return The displaced call, or the new one if it displaces none.
[[nodiscard]] std::optional<QueuedCall> Enqueue(CallQueue& queue,
                                                QueuedCall call,
                                                std::size_t capacity,
                                                Millis now);

/// @brief Takes the next call among those that can be dispatched now. The most
/// important class comes first; within a class the earliest deadline, or the
/// newest arrival while the queue is standing.
/// @param can_dispatch Whether a call can be dispatched now.
[[nodiscard]] std::optional<QueuedCall> DequeueNext(
    CallQueue& queue,
    const std::function<bool(const QueuedCall&)>& can_dispatch,
    Millis now);

/// @brief Removes and returns every call that the predicate accepts.
[[nodiscard]] std::vector<QueuedCall> RemoveIf(
    CallQueue& queue,
    const std::function<bool(const QueuedCall&)>& predicate);

/// @brief Removes a call, for example a cancelled one.
/// @return Whether the call was queued.
bool RemoveCall(CallQueue& queue, CallId id);

/// @return The longest wait among the queued short calls; 0 without any. Long
/// calls are excluded, since they may wait for their share of the slots without
/// any overload.
[[nodiscard]] Millis MaxWaitOfShortCalls(const CallQueue& queue, Millis now);

/// @return Whether the queue is a standing queue: it has not been empty for
/// kStandingQueueAfter.
[[nodiscard]] bool IsStandingQueue(const CallQueue& queue, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ADMISSION_CALL_QUEUE_H_
