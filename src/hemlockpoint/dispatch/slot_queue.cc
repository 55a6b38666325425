#include "hemlockpoint/dispatch/slot_queue.h"

#include <algorithm>
#include <tuple>

namespace hemlockpoint {

namespace {

// A slot's mean time while nothing has been measured.
constexpr Millis kAssumedServiceTime(50);
// Shortest delay for a caller to come back after; a slot's usual turnover.
constexpr Millis kShortestRetryAfter(100);

bool IsLate(const SlotQueue& queue, const WaitingCall& call, Millis now) {
  return now + ExpectedServiceTime(queue.m_times, call.m_route) >
         call.m_objective;
}

auto OrderOf(const SlotQueue& queue, const WaitingCall& call, Millis now) {
  const bool late = IsLate(queue, call, now);
  const Millis by = late ? call.m_deadline : call.m_objective;
  return std::make_tuple(call.m_rank, late, by.value());
}

}  // namespace

Millis ExpectedWait(const SlotQueue& queue, std::uint64_t rank) {
  if (queue.m_running < queue.m_slots) {
    return Millis(0);
  }
  const auto ahead = std::count_if(
      queue.m_waiting.begin(), queue.m_waiting.end(),
      [rank](const WaitingCall& call) { return call.m_rank <= rank; });
  const Millis mean = queue.m_times.m_mean == Millis(0) ? kAssumedServiceTime
                                                        : queue.m_times.m_mean;
  const double slots = std::max<double>(1, static_cast<double>(queue.m_slots));
  return mean * ((static_cast<double>(ahead) + 1) / slots);
}

SlotOffer OfferCall(SlotQueue& queue, const WaitingCall& call, Millis now) {
  SlotOffer offer;
  const Millis wait = ExpectedWait(queue, call.m_rank);
  const Millis finish =
      now + wait + ExpectedServiceTime(queue.m_times, call.m_route);
  const bool full = queue.m_waiting.size() >= kMaxWaiting;
  if (wait > Millis(0) && (full || finish > call.m_deadline)) {
    offer.m_refusal = RefuseBySignal(
        full ? Reason::kQueueFull : Reason::kDeadlineUnreachable,
        {"expected_wait_ms", wait.value(), (call.m_deadline - now).value()});
    offer.m_refusal.m_retry_after = Max(wait, kShortestRetryAfter);
    return offer;
  }
  queue.m_waiting.push_back(call);
  offer.m_accepted = true;
  return offer;
}

std::optional<WaitingCall> TakeNextCall(SlotQueue& queue, Millis now) {
  if (queue.m_running >= queue.m_slots || queue.m_waiting.empty()) {
    return std::nullopt;
  }
  const auto next = std::min_element(
      queue.m_waiting.begin(), queue.m_waiting.end(),
      [&](const WaitingCall& a, const WaitingCall& b) {
        return OrderOf(queue, a, now) < OrderOf(queue, b, now);
      });
  const WaitingCall call = *next;
  queue.m_waiting.erase(next);
  ++queue.m_running;
  return call;
}

void ReleaseSlot(SlotQueue& queue,
                 const std::string& route,
                 Millis duration,
                 bool is_sample) {
  queue.m_running -= queue.m_running > 0 ? 1 : 0;
  if (is_sample) {
    RecordServiceTime(queue.m_times, route, duration);
  }
}

std::vector<WaitingCall> TakeHopeless(SlotQueue& queue, Millis now) {
  const auto hopeless = std::stable_partition(
      queue.m_waiting.begin(), queue.m_waiting.end(),
      [&](const WaitingCall& call) {
        return now + ExpectedServiceTime(queue.m_times, call.m_route) * 0.5 <=
               call.m_deadline;
      });
  std::vector<WaitingCall> taken(hopeless, queue.m_waiting.end());
  queue.m_waiting.erase(hopeless, queue.m_waiting.end());
  return taken;
}

bool RemoveWaiting(SlotQueue& queue, CallId call) {
  const auto found = std::find_if(
      queue.m_waiting.begin(), queue.m_waiting.end(),
      [call](const WaitingCall& waiting) { return waiting.m_call == call; });
  if (found == queue.m_waiting.end()) {
    return false;
  }
  queue.m_waiting.erase(found);
  return true;
}

}  // namespace hemlockpoint
