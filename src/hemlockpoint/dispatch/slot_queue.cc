#include "hemlockpoint/dispatch/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace hemlockpoint {

namespace {

// A slot's mean time while nothing has been measured.
constexpr Millis kDefaultServiceTime(50);
// Shortest delay for a caller to come back after; a slot's usual turnover.
constexpr Millis kShortestRetryAfter(100);
// Part of the usual time that must be left for a call to be begun. Nested
// calls are given the benefit of the doubt, since work has been done for them.
constexpr double kMinNestedTimeShare = 0.5;
constexpr double kMinRootTimeShare = 1.0;
// Room for the spread of service times in the promise of an admission.
constexpr double kAdmissionMargin = 1.25;
// The congestion follows a change within some thirty calls.
constexpr double kCongestionGain = 0.03;
// Part of the slots that is used at most.
constexpr double kUsableSlotShare = 0.95;

bool WillMissObjective(const SlotQueue& queue,
                       const SlotCall& call,
                       Millis now) {
  return now + ExpectedServiceTime(queue.m_service_times, call.m_route) >
         call.m_objective;
}

// Nested calls come before requests, unless requests lack their share.
bool IsInPreferredGroup(const SlotQueue& queue, const SlotCall& call) {
  const double share = static_cast<double>(queue.m_slots) * kMinRootShare;
  const bool roots_lack =
      static_cast<double>(queue.m_running_root_calls) < share;
  return call.m_nested != roots_lack;
}

auto DispatchOrder(const SlotQueue& queue, const SlotCall& call, Millis now) {
  const bool late = WillMissObjective(queue, call, now);
  const Millis by = late ? call.m_deadline : call.m_objective;
  return std::make_tuple(!IsInPreferredGroup(queue, call), call.m_rank,
                         !call.m_returning, late, by.value());
}

// Slots that are used: a target slows down when the last ones are taken.
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

// Whether a waiting call of the same kind and rank goes before another.
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
  const Millis usual = ExpectedServiceTime(queue.m_service_times, call.m_route);
  return usual * ((static_cast<double>(ahead) + 1) /
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
  OfferResult offer;
  const Millis wait = ExpectedWait(queue, call);
  const Millis finish =
      now + wait +
      ExpectedServiceTime(queue.m_service_times, call.m_route) *
          kAdmissionMargin;
  const bool full = queue.m_waiting.size() >= kMaxWaitingCalls;
  const bool patient = call.m_nested || call.m_rank == 0 || call.m_returning;
  const Millis limit =
      patient ? call.m_deadline : Min(call.m_deadline, call.m_objective);
  const bool too_late =
      call.m_nested ? now + wait > call.m_deadline : finish > limit;
  if (full || (wait > Millis(0) && too_late)) {
    offer.m_refusal = RefuseBySignal(
        full ? Reason::kQueueFull : Reason::kDeadlineUnreachable,
        {"expected_wait_ms", wait.value(), (limit - now).value()});
    offer.m_refusal.m_retry_after = Max(wait, kShortestRetryAfter);
    return offer;
  }
  queue.m_waiting.push_back(call);
  offer.m_accepted = true;
  return offer;
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
                 const SlotOutcome& end,
                 Millis now) {
  queue.m_running -= queue.m_running > 0 ? 1 : 0;
  if (end.m_is_service_time) {
    RecordServiceTime(queue.m_service_times, call.m_route, end.m_slot_time);
  }
  if (call.m_nested) {
    return;
  }
  queue.m_running_root_calls -= queue.m_running_root_calls > 0 ? 1 : 0;
  RankLimit& limit = queue.m_limits[call.m_rank];
  limit.m_running -= limit.m_running > 0 ? 1 : 0;
  if (end.m_failed) {
    RecordRankOutcome(limit, call.m_rank, *end.m_failed, UsableSlots(queue),
                      end.m_nested_congestion, now);
  }
}

std::vector<SlotCall> TakeUnreachableCalls(SlotQueue& queue, Millis now) {
  const auto hopeless = std::stable_partition(
      queue.m_waiting.begin(), queue.m_waiting.end(),
      [&](const SlotCall& call) {
        const Millis usual =
            ExpectedServiceTime(queue.m_service_times, call.m_route);
        const double share =
            call.m_nested ? kMinNestedTimeShare : kMinRootTimeShare;
        return now + usual * share <= call.m_deadline;
      });
  std::vector<SlotCall> taken(hopeless, queue.m_waiting.end());
  queue.m_waiting.erase(hopeless, queue.m_waiting.end());
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
