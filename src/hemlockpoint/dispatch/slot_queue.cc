#include "hemlockpoint/dispatch/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace hemlockpoint {

namespace {

// Mean service time assumed before the first sample.
constexpr Millis kDefaultServiceTime(50);
// Minimum Retry-After delay; about the time after which a slot is free again.
constexpr Millis kShortestRetryAfter(100);
// Share of the expected service time that must be left before the deadline for
// a call to be started. It is lower for nested calls, since dropping them would
// waste work already done.
constexpr double kMinNestedTimeShare = 0.5;
constexpr double kMinRootTimeShare = 1.0;
// Factor on the expected service time at admission, to allow for its variance.
constexpr double kAdmissionMargin = 1.25;
// The congestion average follows a change within about 30 calls.
constexpr double kCongestionGain = 0.03;
// Share of the slots in use at most: a target slows down when its last slots
// are taken.
constexpr double kUsableSlotShare = 0.95;

bool WillMissObjective(const SlotQueue& queue,
                       const SlotCall& call,
                       Millis now) {
  return now + ExpectedServiceTime(queue.m_service_times, call.m_route) >
         call.m_objective;
}

// Nested calls are preferred, unless root calls hold less than their share.
bool IsInPreferredGroup(const SlotQueue& queue, const SlotCall& call) {
  const double min_root_calls =
      static_cast<double>(queue.m_slots) * kMinRootShare;
  const bool is_below_root_share =
      static_cast<double>(queue.m_running_root_calls) < min_root_calls;
  return call.m_nested != is_below_root_share;
}

// Sort key of a waiting call; the lowest is dispatched first.
auto DispatchOrder(const SlotQueue& queue, const SlotCall& call, Millis now) {
  const bool will_miss = WillMissObjective(queue, call, now);
  const Millis due = will_miss ? call.m_deadline : call.m_objective;
  return std::make_tuple(!IsInPreferredGroup(queue, call), call.m_rank,
                         !call.m_returning, will_miss, due.value());
}

double UsableSlots(const SlotQueue& queue) {
  return std::max(
      1.0, std::floor(static_cast<double>(queue.m_slots) * kUsableSlotShare));
}

bool HasFreeSlot(const SlotQueue& queue) {
  return queue.m_slots > 0 &&
         static_cast<double>(queue.m_running) < UsableSlots(queue);
}

bool CanDispatch(const SlotQueue& queue, const SlotCall& call) {
  if (call.m_nested) {
    return true;
  }
  const auto limit = queue.m_limits.find(call.m_rank);
  return limit == queue.m_limits.end() ||
         HasRankCapacity(limit->second, UsableSlots(queue));
}

Millis MeanServiceTime(const SlotQueue& queue) {
  return queue.m_service_times.m_mean == Millis(0)
             ? kDefaultServiceTime
             : queue.m_service_times.m_mean;
}

// Whether a waiting call comes before a new call of the same group and rank.
bool ComesBefore(const SlotCall& waiting, const SlotCall& call) {
  return waiting.m_returning || !call.m_returning;
}

Millis EstimateRankWait(const SlotQueue& queue, const SlotCall& call) {
  const auto limit = queue.m_limits.find(call.m_rank);
  if (call.m_nested || limit == queue.m_limits.end() ||
      HasRankCapacity(limit->second, UsableSlots(queue))) {
    return Millis(0);
  }
  const auto ahead =
      std::count_if(queue.m_waiting.begin(), queue.m_waiting.end(),
                    [&](const SlotCall& other) {
                      return !other.m_nested && other.m_rank == call.m_rank &&
                             ComesBefore(other, call);
                    });
  const Millis service_time =
      ExpectedServiceTime(queue.m_service_times, call.m_route);
  return service_time * ((static_cast<double>(ahead) + 1) /
                         std::max(1.0, limit->second.m_limit));
}

Millis EstimateSlotWait(const SlotQueue& queue, const SlotCall& call) {
  if (HasFreeSlot(queue)) {
    return Millis(0);
  }
  const auto ahead = std::count_if(
      queue.m_waiting.begin(), queue.m_waiting.end(),
      [&](const SlotCall& other) {
        if (other.m_nested != call.m_nested) {
          return other.m_nested;
        }
        return other.m_rank < call.m_rank ||
               (other.m_rank == call.m_rank && ComesBefore(other, call));
      });
  return MeanServiceTime(queue) *
         ((static_cast<double>(ahead) + 1) / UsableSlots(queue));
}

}  // namespace

Millis ExpectedWait(const SlotQueue& queue, const SlotCall& call) {
  return Max(EstimateSlotWait(queue, call), EstimateRankWait(queue, call));
}

OfferResult OfferCall(SlotQueue& queue, const SlotCall& call, Millis now) {
  OfferResult result;
  const Millis wait = ExpectedWait(queue, call);
  const Millis finish =
      now + wait +
      ExpectedServiceTime(queue.m_service_times, call.m_route) *
          kAdmissionMargin;
  const bool is_full = queue.m_waiting.size() >= kMaxWaitingCalls;
  const bool may_miss_objective =
      call.m_nested || call.m_rank == 0 || call.m_returning;
  const Millis latest_finish = may_miss_objective
                                   ? call.m_deadline
                                   : Min(call.m_deadline, call.m_objective);
  const bool is_too_late =
      call.m_nested ? now + wait > call.m_deadline : finish > latest_finish;
  if (is_full || (wait > Millis(0) && is_too_late)) {
    result.m_refusal = MakeSignalRefusal(
        is_full ? Reason::kQueueFull : Reason::kDeadlineUnreachable,
        {"expected_wait_ms", wait.value(), (latest_finish - now).value()});
    result.m_refusal.m_retry_after = Max(wait, kShortestRetryAfter);
    return result;
  }
  queue.m_waiting.push_back(call);
  result.m_accepted = true;
  return result;
}

std::optional<SlotCall> TakeNextCall(SlotQueue& queue, Millis now) {
  if (!HasFreeSlot(queue)) {
    return std::nullopt;
  }
  auto next = queue.m_waiting.end();
  for (auto call = queue.m_waiting.begin(); call != queue.m_waiting.end();
       ++call) {
    if (CanDispatch(queue, *call) &&
        (next == queue.m_waiting.end() ||
         DispatchOrder(queue, *call, now) < DispatchOrder(queue, *next, now))) {
      next = call;
    }
  }
  if (next == queue.m_waiting.end()) {
    return std::nullopt;
  }
  const SlotCall call = *next;
  queue.m_waiting.erase(next);
  ++queue.m_running;
  if (call.m_nested) {
    const double wait = (now - call.m_arrival) / MeanServiceTime(queue);
    queue.m_congestion += (wait - queue.m_congestion) * kCongestionGain;
  }
  if (!call.m_nested) {
    ++queue.m_running_root_calls;
    ++queue.m_limits[call.m_rank].m_running;
  }
  return call;
}

void ReleaseSlot(SlotQueue& queue,
                 const SlotCall& call,
                 const SlotOutcome& outcome,
                 Millis now) {
  queue.m_running -= queue.m_running > 0 ? 1 : 0;
  if (outcome.m_is_service_time) {
    RecordServiceTime(queue.m_service_times, call.m_route, outcome.m_slot_time);
  }
  if (call.m_nested) {
    return;
  }
  queue.m_running_root_calls -= queue.m_running_root_calls > 0 ? 1 : 0;
  RankLimit& limit = queue.m_limits[call.m_rank];
  limit.m_running -= limit.m_running > 0 ? 1 : 0;
  if (outcome.m_failed) {
    RecordRankOutcome(limit, call.m_rank, *outcome.m_failed, UsableSlots(queue),
                      outcome.m_nested_congestion, now);
  }
}

std::vector<SlotCall> TakeUnreachableCalls(SlotQueue& queue, Millis now) {
  const auto first_unreachable = std::stable_partition(
      queue.m_waiting.begin(), queue.m_waiting.end(),
      [&](const SlotCall& call) {
        const Millis service_time =
            ExpectedServiceTime(queue.m_service_times, call.m_route);
        const double share =
            call.m_nested ? kMinNestedTimeShare : kMinRootTimeShare;
        return now + service_time * share <= call.m_deadline;
      });
  std::vector<SlotCall> taken(first_unreachable, queue.m_waiting.end());
  queue.m_waiting.erase(first_unreachable, queue.m_waiting.end());
  return taken;
}

bool RemoveWaitingCall(SlotQueue& queue, CallId call) {
  const auto found = std::find_if(
      queue.m_waiting.begin(), queue.m_waiting.end(),
      [call](const SlotCall& waiting) { return waiting.m_call == call; });
  if (found == queue.m_waiting.end()) {
    return false;
  }
  queue.m_waiting.erase(found);
  return true;
}

}  // namespace hemlockpoint
