#ifndef HEMLOCKPOINT_ADMISSION_ADMISSION_H_
#define HEMLOCKPOINT_ADMISSION_ADMISSION_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "hemlockpoint/admission/call_queue.h"
#include "hemlockpoint/admission/durations.h"
#include "hemlockpoint/admission/limit.h"
#include "hemlockpoint/admission/shed.h"
#include "hemlockpoint/outcome/refusal.h"

namespace hemlockpoint {

/// @brief A call that the target runs now.
struct RunningCall {
  KindName m_kind;
  Millis m_dispatched;
  bool m_long = false;
  bool m_suspect = false;
};

/// @brief Everything that decides which call a target gets next.
struct AdmissionState {
  LimitState m_limit;
  DurationTable m_durations;
  CallQueue m_queue;
  ShedState m_shed;
  std::unordered_map<CallId, RunningCall> m_running;
  std::size_t m_running_long = 0;
  std::size_t m_running_suspects = 0;
  std::size_t m_queue_capacity = 1024;
  double m_long_share = 0.3;
  bool m_leaving = false;
  /// No limit, queue or shedding; the comparison in measurements.
  bool m_pass_through = false;
};

/// @brief A call offered to a target.
struct OfferedCall {
  CallId m_call;
  RequestId m_root;
  std::size_t m_class = 0;
  KindName m_kind;
  Millis m_deadline;
  bool m_long = false;
  bool m_suspect = false;
};

/// @brief A call that will not be dispatched, and why.
struct DroppedCall {
  CallId m_call;
  Refusal m_refusal;
};

/// @brief Offers a call to the target. An accepted call waits in the queue
/// until Dispatch() takes it.
/// @return The calls refused by this: the new one, or one that gave way.
[[nodiscard]] std::vector<DroppedCall> Offer(AdmissionState& state,
                                             const OfferedCall& call,
                                             Millis now);

/// @brief Calls taken from the queue in one step.
struct DispatchBatch {
  std::vector<CallId> m_ready_calls;
  std::vector<DroppedCall> m_dropped;
};

/// @brief Takes every call that may run now, and drops those whose deadline
/// cannot be met any more.
[[nodiscard]] DispatchBatch Dispatch(AdmissionState& state, Millis now);

/// @brief Moves the limit and the threshold; call every 10 to 50 ms.
/// @return Calls that the moved threshold refuses.
[[nodiscard]] std::vector<DroppedCall> UpdateAdmission(AdmissionState& state,
                                                       Millis now);

/// @brief Notes that the target has begun to answer, which ends the call's
/// service time; it still holds its slot.
void RecordResponseStart(AdmissionState& state, CallId call, Millis now);

/// @brief Frees the slot of a dispatched call.
void FinishCall(AdmissionState& state, CallId call);

/// @brief Takes a cancelled call out of the queue.
/// @return Whether it was waiting there.
bool CancelQueuedCall(AdmissionState& state, CallId call);

/// @brief Refuses everything that waits, because the target leaves or is lost.
[[nodiscard]] std::vector<DroppedCall> DropQueuedCalls(AdmissionState& state,
                                                       Reason reason);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ADMISSION_ADMISSION_H_
