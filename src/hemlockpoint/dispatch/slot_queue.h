#ifndef HEMLOCKPOINT_DISPATCH_SLOT_QUEUE_H_
#define HEMLOCKPOINT_DISPATCH_SLOT_QUEUE_H_

#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/dispatch/service_times.h"
#include "hemlockpoint/outcome/refusal.h"

namespace hemlockpoint {

/// @brief A call at the node of its target.
struct WaitingCall {
  CallId m_call;
  std::string m_route;
  /// 0 is the most important.
  std::uint64_t m_rank = 0;
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
  std::vector<WaitingCall> m_waiting;
  ServiceTimes m_times;
};

/// @brief Calls that wait at most; more than any target works off before
/// their deadlines.
inline constexpr std::size_t kMaxWaiting = 4096;

/// @brief What becomes of an offered call.
struct SlotOffer {
  bool m_accepted = false;
  Refusal m_refusal;
};

/// @brief Puts a call among the waiting ones, or refuses it at once when its
/// turn would come too late.
[[nodiscard]] SlotOffer OfferCall(SlotQueue& queue,
                                  const WaitingCall& call,
                                  Millis now);

/// @brief Takes the next call for a free slot: the most important rank;
/// within it calls that can still be in time, the earliest objective first;
/// then late ones.
/// @return Nothing while no slot is free or no call waits.
[[nodiscard]] std::optional<WaitingCall> TakeNextCall(SlotQueue& queue,
                                                      Millis now);

/// @brief Frees the slot of a call that held it for `duration`.
/// @param is_sample Whether the duration tells how long the work takes.
void ReleaseSlot(SlotQueue& queue,
                 const std::string& route,
                 Millis duration,
                 bool is_sample);

/// @brief Takes out the calls that would end after their deadline if they
/// began now.
[[nodiscard]] std::vector<WaitingCall> TakeHopeless(SlotQueue& queue,
                                                    Millis now);

/// @brief Takes out one call.
/// @return Whether it was waiting.
bool RemoveWaiting(SlotQueue& queue, CallId call);

/// @return How long a call of a rank would wait for its slot.
[[nodiscard]] Millis ExpectedWait(const SlotQueue& queue, std::uint64_t rank);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_SLOT_QUEUE_H_
