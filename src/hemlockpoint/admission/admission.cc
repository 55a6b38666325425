#include "hemlockpoint/admission/admission.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hemlockpoint {

namespace {

// About the time in which the shedding threshold adapts to the offered load.
constexpr Millis kShedRetryAfter(500);
constexpr Millis kQueueRetryAfter(200);

Refusal MakeShedRefusal(const AdmissionState& state, double rank) {
  Refusal refusal = MakeSignalRefusal(
      Reason::kShed, {"shed_threshold", rank, state.m_shed.m_threshold});
  refusal.m_retry_after = kShedRetryAfter;
  return refusal;
}

Refusal MakeQueueRefusal(const AdmissionState& state, Reason reason) {
  Refusal refusal = MakeSignalRefusal(
      reason, {"queue_entries", static_cast<double>(state.m_queue.m_size),
               static_cast<double>(state.m_queue_capacity)});
  refusal.m_retry_after = kQueueRetryAfter;
  return refusal;
}

Refusal MakeUnreachableRefusal(Millis expected, Millis left) {
  Refusal refusal =
      MakeSignalRefusal(Reason::kDeadlineUnreachable,
                        {"expected_ms", expected.value(), left.value()});
  refusal.m_retry_after = kQueueRetryAfter;
  return refusal;
}

bool CannotFinishInTime(const AdmissionState& state,
                        const KindName& kind,
                        Millis deadline,
                        Millis now) {
  return now + ExpectedDuration(state.m_durations, kind) > deadline;
}

std::size_t LongWorkLimit(const AdmissionState& state, std::uint64_t limit) {
  const double share = static_cast<double>(limit) * state.m_long_share;
  return static_cast<std::size_t>(std::max(1.0, std::floor(share)));
}

bool CanDispatch(const AdmissionState& state,
                 const QueuedCall& call,
                 std::uint64_t limit) {
  if (call.m_long && state.m_running_long >= LongWorkLimit(state, limit)) {
    return false;
  }
  return !call.m_suspect || state.m_running_suspects == 0;
}

// Mean age of the running calls, each divided by the normal service time of its
// kind; 1 without such calls.
double InFlightSlowness(const AdmissionState& state, Millis now) {
  double sum = 0;
  double count = 0;
  for (const auto& [call, running] : state.m_running) {
    const Millis normal = NormalDuration(state.m_durations, running.m_kind);
    if (normal > Millis(0)) {
      sum += (now - running.m_dispatch_time) / normal;
      ++count;
    }
  }
  return count > 0 ? sum / count : 1;
}

// Long calls are excluded, since they may wait for their share of the slots
// without any overload.
void RecordCallWait(AdmissionState& state, const QueuedCall& call, Millis now) {
  if (!call.m_long) {
    RecordWait(state.m_shed, now - call.m_arrival);
  }
}

std::vector<DroppedCall> DropUnreachableCalls(AdmissionState& state,
                                              Millis now) {
  std::vector<DroppedCall> dropped;
  const auto unreachable = RemoveIf(state.m_queue, [&](const QueuedCall& call) {
    return CannotFinishInTime(state, call.m_kind, call.m_deadline, now);
  });
  for (const QueuedCall& call : unreachable) {
    RecordCallWait(state, call, now);
    const Millis expected = ExpectedDuration(state.m_durations, call.m_kind);
    dropped.push_back(
        {call.m_call, MakeUnreachableRefusal(expected, call.m_deadline - now)});
  }
  return dropped;
}

}  // namespace

std::vector<DroppedCall> Offer(AdmissionState& state,
                               const OfferedCall& call,
                               Millis now) {
  const double rank = RankOf(call.m_class, call.m_root);
  RecordOffered(state.m_shed, rank);
  if (!state.m_pass_through) {
    if (IsShed(state.m_shed, rank)) {
      return {{call.m_call, MakeShedRefusal(state, rank)}};
    }
    if (CannotFinishInTime(state, call.m_kind, call.m_deadline, now)) {
      const Millis expected = ExpectedDuration(state.m_durations, call.m_kind);
      return {{call.m_call,
               MakeUnreachableRefusal(expected, call.m_deadline - now)}};
    }
  }
  QueuedCall queued;
  queued.m_call = call.m_call;
  queued.m_class = std::min(call.m_class, kMaxClasses - 1);
  queued.m_rank = rank;
  queued.m_arrival = now;
  queued.m_deadline = call.m_deadline;
  queued.m_kind = call.m_kind;
  queued.m_long = call.m_long || IsLearnedLong(state.m_durations, call.m_kind);
  queued.m_suspect = call.m_suspect;
  const auto displaced =
      Enqueue(state.m_queue, std::move(queued), state.m_queue_capacity, now);
  if (displaced) {
    return {{displaced->m_call, MakeQueueRefusal(state, Reason::kQueueFull)}};
  }
  return {};
}

DispatchBatch Dispatch(AdmissionState& state, Millis now) {
  DispatchBatch batch;
  if (state.m_queue.m_size == 0) {
    return batch;
  }
  if (!state.m_pass_through) {
    batch.m_dropped = DropUnreachableCalls(state, now);
  }
  const std::uint64_t limit = CurrentLimit(state.m_limit, now);
  const auto can_dispatch = [&](const QueuedCall& call) {
    return state.m_pass_through || CanDispatch(state, call, limit);
  };
  while (state.m_pass_through || state.m_running.size() < limit) {
    const auto next = DequeueNext(state.m_queue, can_dispatch, now);
    if (!next) {
      break;
    }
    RecordCallWait(state, *next, now);
    RunningCall running;
    running.m_kind = next->m_kind;
    running.m_dispatch_time = now;
    running.m_long = next->m_long;
    running.m_suspect = next->m_suspect;
    state.m_running_long += next->m_long ? 1 : 0;
    state.m_running_suspects += next->m_suspect ? 1 : 0;
    state.m_running.emplace(next->m_call, running);
    batch.m_ready_calls.push_back(next->m_call);
  }
  return batch;
}

std::vector<DroppedCall> UpdateAdmission(AdmissionState& state, Millis now) {
  if (state.m_pass_through) {
    return {};
  }
  const bool is_at_limit =
      state.m_running.size() >= CurrentLimit(state.m_limit, now);
  UpdateLimit(state.m_limit, InFlightSlowness(state, now), now);
  UpdateShedThreshold(state.m_shed, MaxWaitOfShortCalls(state.m_queue, now),
                      is_at_limit, now);
  std::vector<DroppedCall> dropped = DropUnreachableCalls(state, now);
  const auto shed = RemoveIf(state.m_queue, [&](const QueuedCall& call) {
    return IsShed(state.m_shed, call.m_rank);
  });
  for (const QueuedCall& call : shed) {
    dropped.push_back({call.m_call, MakeShedRefusal(state, call.m_rank)});
  }
  return dropped;
}

void RecordResponseStart(AdmissionState& state, CallId call, Millis now) {
  const auto found = state.m_running.find(call);
  if (found == state.m_running.end()) {
    return;
  }
  const RunningCall& running = found->second;
  RecordDuration(state.m_durations, running.m_kind,
                 now - running.m_dispatch_time, now);
  RecordCompletion(state.m_limit, Slowness(state.m_durations, running.m_kind));
  RecordServed(state.m_shed);
}

void FinishCall(AdmissionState& state, CallId call) {
  const auto found = state.m_running.find(call);
  if (found == state.m_running.end()) {
    return;
  }
  state.m_running_long -= found->second.m_long ? 1 : 0;
  state.m_running_suspects -= found->second.m_suspect ? 1 : 0;
  state.m_running.erase(found);
}

bool CancelQueuedCall(AdmissionState& state, CallId call) {
  return RemoveCall(state.m_queue, call);
}

std::vector<DroppedCall> DropQueuedCalls(AdmissionState& state, Reason reason) {
  std::vector<DroppedCall> dropped;
  const auto all =
      RemoveIf(state.m_queue, [](const QueuedCall&) { return true; });
  for (const QueuedCall& call : all) {
    dropped.push_back({call.m_call, MakeQueueRefusal(state, reason)});
  }
  return dropped;
}

}  // namespace hemlockpoint
