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

/// @brief A call that was dispatched to the target and has not finished.
struct RunningCall {
  KindName m_kind;
  Millis m_dispatch_time;
  bool m_long = false;
  bool m_suspect = false;
};

/// @brief Admission control of one target: queue, concurrency limit and
/// shedding.
struct AdmissionState {
  LimitState m_limit;
  DurationTable m_durations;
  CallQueue m_queue;
  ShedState m_shed;
  std::unordered_map<CallId, RunningCall> m_running;
  std::size_t m_running_long = 0;
  std::size_t m_running_suspects = 0;
  std::size_t m_queue_capacity = 1024;
  /// Share of the concurrency limit that long calls may take.
  double m_long_share = 0.3;
  bool m_leaving = false;
  /// Disables the limit, the drops and shedding, as the baseline of
  /// measurements.
  bool m_pass_through = false;
};

/// @brief A call offered to a target.
struct OfferedCall {
  CallId m_call;
  /// Id of the root request.
  RequestId m_root;
  /// Index of the priority class; 0 is the most important.
  std::size_t m_class = 0;
  KindName m_kind;
  Millis m_deadline;
  /// The policy marks the work as long-running.
  bool m_long = false;
  /// The quarantine table of the entry node or of this node has a valid entry
  /// for the request: it was in flight when a target crashed.
  bool m_suspect = false;
};

/// @brief A call that will not be dispatched, with its refusal.
struct DroppedCall {
  CallId m_call;
  Refusal m_refusal;
};

/// @brief Offers a call to the target. An accepted call waits in the queue
/// until Dispatch() takes it.
/// @return The refused call, if any: the new one, or one that it displaced from
/// a full queue.
[[nodiscard]] std::vector<DroppedCall> Offer(AdmissionState& state,
                                             const OfferedCall& call,
                                             Millis now);

/// @brief Calls that one run of Dispatch() took from the queue.
struct DispatchBatch {
  std::vector<CallId> m_ready_calls;
  std::vector<DroppedCall> m_dropped;
};

/// @brief Takes every call that may run now, and drops the calls that are not
/// expected to finish before their deadline.
[[nodiscard]] DispatchBatch Dispatch(AdmissionState& state, Millis now);

/// @brief Updates the concurrency limit and the shedding threshold. To be
/// called every 10 to 50 ms.
/// @return Queued calls that were dropped: those above the new threshold, and
/// those that are not expected to finish before their deadline.
[[nodiscard]] std::vector<DroppedCall> UpdateAdmission(AdmissionState& state,
                                                       Millis now);

/// @brief Records that the target has started its response. This ends the
/// service time of the call. The call keeps its slot until FinishCall().
void RecordResponseStart(AdmissionState& state, CallId call, Millis now);

/// @brief Frees the slot of a dispatched call.
void FinishCall(AdmissionState& state, CallId call);

/// @brief Removes a cancelled call from the queue.
/// @return Whether the call was queued.
bool CancelQueuedCall(AdmissionState& state, CallId call);

/// @brief Empties the queue because the target is leaving or was lost.
/// @return All calls that were queued.
[[nodiscard]] std::vector<DroppedCall> DropQueuedCalls(AdmissionState& state,
                                                       Reason reason);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ADMISSION_ADMISSION_H_
