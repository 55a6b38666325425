#include "hemlockpoint/retry/next_step.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockpoint {
namespace {

RC_GTEST_PROP(NextStep, NonIdempotentWorkThatMayHaveRunIsNeverSentAgain, ()) {
  Refusal refusal;
  refusal.m_execution = Execution::kUnknown;
  refusal.m_reason =
      static_cast<Reason>(*rc::gen::inRange<std::size_t>(0, kReasonCount));
  AttemptEnd end;
  end.m_has_replayable_body = true;
  end.m_time_left = true;
  RC_ASSERT(DecideNextStep(refusal, end) == NextStep::kGiveUp);
}

TEST(NextStep, ReroutesFromALeavingTarget) {
  const Refusal refusal = MakeSignalRefusal(Reason::kTargetLeaving, {});
  const AttemptEnd end{false, true, true, 0};
  EXPECT_EQ(DecideNextStep(refusal, end), NextStep::kReroute);
}

TEST(NextStep, ReroutesAreBounded) {
  const Refusal refusal = MakeSignalRefusal(Reason::kTargetLeaving, {});
  const AttemptEnd end{true, true, true, kMaxReroutes};
  EXPECT_EQ(DecideNextStep(refusal, end), NextStep::kGiveUp);
}

TEST(NextStep, RetriesALostIdempotentCall) {
  const Refusal refusal = MakeUnknownOutcome(Reason::kTargetLost, {});
  const AttemptEnd end{true, true, true, 0};
  EXPECT_EQ(DecideNextStep(refusal, end), NextStep::kRetry);
}

TEST(NextStep, GivesUpOnAShedCall) {
  const Refusal refusal = MakeSignalRefusal(Reason::kShed, {});
  const AttemptEnd end{true, true, true, 0};
  EXPECT_EQ(DecideNextStep(refusal, end), NextStep::kGiveUp);
}

TEST(NextStep, GivesUpWithoutAReplayableBody) {
  const Refusal refusal = MakeSignalRefusal(Reason::kTargetLeaving, {});
  const AttemptEnd end{true, false, true, 0};
  EXPECT_EQ(DecideNextStep(refusal, end), NextStep::kGiveUp);
}

}  // namespace
}  // namespace hemlockpoint
