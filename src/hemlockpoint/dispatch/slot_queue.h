#ifndef HEMLOCKPOINT_DISPATCH_SLOT_QUEUE_H_
#define HEMLOCKPOINT_DISPATCH_SLOT_QUEUE_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/dispatch/rank_limit.h"
#include "hemlockpoint/dispatch/service_times.h"
#include "hemlockpoint/outcome/refusal.h"

namespace hemlockpoint {

/// @brief A call that waits for a slot of a target or holds one.
struct SlotCall {
  CallId m_call;
  std::string m_route;
  /// 0 is the most important.
  std::uint64_t m_rank = 0;
  /// The call was made by a target while it handled another call. Other calls
  /// are root calls.
  bool m_nested = false;
  /// The request was refused before and was sent again after its Retry-After
  /// delay.
  bool m_returning = false;
  Millis m_arrival;
  /// Time at which the caller stops waiting for the response.
  Millis m_deadline;
  /// Time until which a response meets the latency objective.
  Millis m_objective;
};

/// @brief Queue of the calls to one target, with the slots in use.
struct SlotQueue {
  /// Number of calls that the target handles concurrently.
  std::size_t m_slots = 0;
  std::size_t m_running = 0;
  /// Root calls among m_running.
  std::size_t m_running_root_calls = 0;
  std::vector<SlotCall> m_waiting;
  ServiceTimes m_service_times;
  /// Exponential moving average of the wait of nested calls, divided by the
  /// mean service time.
  double m_congestion = 0;
  /// Concurrency limits of root calls by rank. The routes of a rank share a
  /// limit, since a single route has too few outcomes for a timely decision.
  std::unordered_map<std::uint64_t, RankLimit> m_limits;
};

/// @brief Maximum number of waiting calls; more than a target can handle before
/// their deadlines.
inline constexpr std::size_t kMaxWaitingCalls = 4096;

/// @brief Share of the slots that root calls get even while nested calls wait.
inline constexpr double kMinRootShare = 0.15;

/// @brief Result of offering a call to a queue.
struct OfferResult {
  bool m_accepted = false;
  /// Set if the call was not accepted.
  Refusal m_refusal;
};

/// @brief Outcome of a call that held a slot.
struct SlotOutcome {
  Millis m_slot_time;
  /// m_slot_time is a valid sample of the route's service time.
  bool m_is_service_time = false;
  /// Whether the call failed: the target gave no response in time, or a
  /// failure. Empty if the outcome doesn't count, as for a cancelled call.
  std::optional<bool> m_failed;
  /// Recent downstream congestion, as reported in the responses to the target's
  /// nested calls.
  double m_nested_congestion = 0;
};

/// @brief Enqueues a call, or refuses it if its expected wait is too long.
///
/// A root call of a rank other than 0 that is not returning must be expected to
/// finish before its objective and its deadline. A root call of rank 0 and a
/// returning one must be expected to finish before its deadline. A nested call
/// must only be expected to start before its deadline, since its refusal would
/// waste work already done. A call without an expected wait is accepted unless
/// the queue is full.
[[nodiscard]] OfferResult OfferCall(SlotQueue& queue,
                                    const SlotCall& call,
                                    Millis now);

/// @brief Takes the next call for a free slot.
///
/// Nested calls come before root calls unless root calls hold less than
/// kMinRootShare of the slots; then root calls come first. Within either group
/// the order is: the most important rank first; within a rank returning calls
/// first; then calls that can meet their objective, by earliest objective; then
/// the other calls, by earliest deadline.
/// @return Nothing while no slot is free or no waiting call may run.
[[nodiscard]] std::optional<SlotCall> TakeNextCall(SlotQueue& queue,
                                                   Millis now);

/// @brief Frees the slot of a call and records its outcome.
void ReleaseSlot(SlotQueue& queue,
                 const SlotCall& call,
                 const SlotOutcome& outcome,
                 Millis now);

/// @brief Removes the calls that are not expected to meet their deadline even
/// if they started now.
/// @return The removed calls.
[[nodiscard]] std::vector<SlotCall> TakeUnreachableCalls(SlotQueue& queue,
                                                         Millis now);

/// @brief Removes a call from the queue.
/// @return Whether the call was waiting.
bool RemoveWaitingCall(SlotQueue& queue, CallId call);

/// @return The expected time until the call would get a slot.
[[nodiscard]] Millis ExpectedWait(const SlotQueue& queue, const SlotCall& call);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_SLOT_QUEUE_H_
