#include "hemlockpoint/dispatch/call_outcome.h"

#include <gtest/gtest.h>

#include "hemlockpoint/dispatch/rank_limit.h"

namespace hemlockpoint {
namespace {

// A call that got its slot at once, with a second until its deadline.
CallEnd MakeEnd(Millis ended) {
  CallEnd end;
  end.m_ended = ended;
  end.m_deadline = Millis(1000);
  end.m_is_dispatched = true;
  end.m_is_success = true;
  return end;
}

TEST(CallOutcome, ATimeoutIsADownstreamFailure) {
  CallEnd end = MakeEnd(Millis(950));
  EXPECT_EQ(IsDownstreamFailure(end), true);
  end.m_is_cancelled = true;
  EXPECT_EQ(IsDownstreamFailure(end), true);
}

TEST(CallOutcome, ATimeoutAfterALongWaitSaysNothing) {
  CallEnd end = MakeEnd(Millis(990));
  end.m_started = Millis(400);
  EXPECT_EQ(IsDownstreamFailure(end), std::nullopt);
}

TEST(CallOutcome, CallsThatWereCancelledOrNeverSentSayNothing) {
  CallEnd cancelled = MakeEnd(Millis(100));
  cancelled.m_is_cancelled = true;
  EXPECT_EQ(IsDownstreamFailure(cancelled), std::nullopt);
  CallEnd unsent = MakeEnd(Millis(100));
  unsent.m_is_dispatched = false;
  EXPECT_EQ(IsDownstreamFailure(unsent), std::nullopt);
}

TEST(CallOutcome, AFailureOfTheTargetItselfIsNotADownstreamFailure) {
  CallEnd end = MakeEnd(Millis(100));
  end.m_is_success = false;
  EXPECT_EQ(IsDownstreamFailure(end), false);
}

// The load: a service refuses or delays the nested calls of another one, whose
// calls then fail early instead of running out of time. Before failed nested
// calls counted, the limit stayed at the number of slots, and nearly all calls
// ran and failed.
TEST(CallOutcome, CallsThatFailWithTheirNestedCallsLowerTheLimit) {
  constexpr double kSlots = 200;
  RankLimit limit;
  limit.m_running = static_cast<std::size_t>(kSlots);
  for (int i = 0; i < 100; ++i) {
    CallEnd end = MakeEnd(Millis(300));
    end.m_is_success = false;
    end.m_has_failed_nested_call = true;
    const auto failed = IsDownstreamFailure(end);
    ASSERT_EQ(failed, true);
    RecordRankOutcome(limit, 1, *failed, kSlots, kMinDownstreamCongestion,
                      Millis(i));
  }
  EXPECT_EQ(limit.m_limit, kMinRankLimit);
}

TEST(CallOutcome, ASuccessAfterARetriedNestedCallIsNoFailure) {
  CallEnd end = MakeEnd(Millis(100));
  end.m_has_failed_nested_call = true;
  EXPECT_EQ(IsDownstreamFailure(end), false);
}

}  // namespace
}  // namespace hemlockpoint
