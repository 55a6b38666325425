#include "hemlockpoint/retry/next_step.h"

namespace hemlockpoint {

namespace {

bool IsLoadRelated(Reason reason) {
  return reason == Reason::kQueueFull ||
         reason == Reason::kDeadlineUnreachable ||
         reason == Reason::kNodeOverloaded;
}

bool IsRetryableLoss(Reason reason) {
  return reason == Reason::kTargetLost || reason == Reason::kNodeLost;
}

}  // namespace

NextStep DecideNextStep(const Refusal& refusal, const AttemptEnd& end) {
  if (!end.m_time_left || !end.m_has_replayable_body) {
    return NextStep::kGiveUp;
  }
  if (refusal.m_execution == Execution::kUnknown) {
    const bool may_retry =
        end.m_idempotent && IsRetryableLoss(refusal.m_reason);
    return may_retry ? NextStep::kRetry : NextStep::kGiveUp;
  }
  if (!IsWorthAnotherTarget(refusal)) {
    return NextStep::kGiveUp;
  }
  if (IsLoadRelated(refusal.m_reason)) {
    return NextStep::kRetry;
  }
  return end.m_reroutes < kMaxReroutes ? NextStep::kReroute : NextStep::kGiveUp;
}

}  // namespace hemlockpoint
