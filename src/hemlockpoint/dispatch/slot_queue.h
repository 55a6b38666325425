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

/// @brief A call at the node of its target.
struct SlotCall {
  CallId m_call;
  std::string m_route;
  /// 0 is the most important.
  std::uint64_t m_rank = 0;
  /// Made by a target for a request that it works on.
  bool m_nested = false;
  /// Was refused before and has come back when it was told to.
  bool m_returning = false;
  Millis m_arrival;
  /// When nobody waits for the answer any more.
  Millis m_deadline;
  /// Until when an answer is in time.
  Millis m_objective;
};

/// @brief Calls that wait for a slot of one target, and the slots taken.
struct SlotQueue {
  /// Calls that the target works on at the same time.
  std::size_t m_slots = 0;
  std::size_t m_running = 0;
  /// Those of m_running that no target has made.
  std::size_t m_running_root_calls = 0;
  std::vector<SlotCall> m_waiting;
  ServiceTimes m_service_times;
  /// Moving average of nested calls' wait for a slot, over the mean time in
  /// it.
  double m_congestion = 0;
  /// Limits of requests by rank. Routes of one rank share a limit: they are
  /// many, and each alone ends too seldom to tell anything in time.
  std::unordered_map<std::uint64_t, RankLimit> m_limits;
};

/// @brief Calls that wait at most; more than any target works off before
/// their deadlines.
inline constexpr std::size_t kMaxWaitingCalls = 4096;

/// @brief Part of the slots that requests get even while nested calls wait.
inline constexpr double kMinRootShare = 0.15;

/// @brief What becomes of an offered call.
struct OfferResult {
  bool m_accepted = false;
  Refusal m_refusal;
};

/// @brief How a call that held a slot has ended.
struct SlotOutcome {
  Millis m_slot_time;
  /// The target has answered, so the time tells how long the work takes.
  bool m_is_service_time = false;
  /// The target gave no answer in time, or a failure. Nothing when the call
  /// says nothing of it, such as one that was cancelled.
  std::optional<bool> m_failed;
  /// Congestion that the target's own calls have met of late.
  double m_nested_congestion = 0;
};

/// @brief Puts a call among the waiting ones, or refuses it at once when its
/// turn would come too late: for a request that is not of the first rank
/// and hasn't been refused before, after its objective; for others, after the
/// deadline. Nested calls wait, as
/// long as there is any chance, since work has been done for them.
[[nodiscard]] OfferResult OfferCall(SlotQueue& queue,
                                    const SlotCall& call,
                                    Millis now);

/// @brief Takes the next call for a free slot: nested calls first, but for
/// kMinRootShare of the slots; then the most important rank; within it those
/// that have come back as they were told, then calls that can still be in time,
/// the earliest objective first; then late ones.
/// @return Nothing while no slot is free or no call may run.
[[nodiscard]] std::optional<SlotCall> TakeNextCall(SlotQueue& queue,
                                                   Millis now);

/// @brief Frees the slot of a call.
void ReleaseSlot(SlotQueue& queue,
                 const SlotCall& call,
                 const SlotOutcome& end,
                 Millis now);

/// @brief Takes out the calls that would end after their deadline if they
/// began now.
[[nodiscard]] std::vector<SlotCall> TakeUnreachableCalls(SlotQueue& queue,
                                                         Millis now);

/// @brief Takes out one call.
/// @return Whether it was waiting.
bool RemoveWaitingCall(SlotQueue& queue, CallId call);

/// @return How long a call would wait for its slot.
[[nodiscard]] Millis ExpectedWait(const SlotQueue& queue, const SlotCall& call);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_SLOT_QUEUE_H_
