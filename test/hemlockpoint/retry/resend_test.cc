#include "hemlockpoint/retry/resend.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

const CallerName kCaller("gate-1");
constexpr Fingerprint kRequest(42);

FailedRequest MakeFailure(bool not_run, double free_after) {
  FailedRequest failure;
  failure.m_root = RequestId("first");
  failure.m_not_run = not_run;
  failure.m_uncharged_from = Millis(free_after);
  return failure;
}

TEST(Resend, KeepsTheRootIdOfTheFailedRequest) {
  ResendTable table;
  RecordFailedRequest(table, kRequest, MakeFailure(false, 0));
  const auto decision =
      EvaluateResend(table, kCaller, kRequest, 0.1, Millis(10));
  EXPECT_TRUE(decision.m_is_resend);
  EXPECT_EQ(*decision.m_root, RequestId("first"));
}

TEST(Resend, SpendsTheRetryTokensOfTheCaller) {
  ResendTable table;
  int allowed = 0;
  for (int i = 0; i < 100; ++i) {
    RecordFailedRequest(table, kRequest, MakeFailure(false, 0));
    allowed +=
        EvaluateResend(table, kCaller, kRequest, 0.1, Millis(10)).m_allowed ? 1
                                                                            : 0;
  }
  EXPECT_EQ(allowed, 1);
}

TEST(Resend, IsUnchargedAfterTheRetryDelayWhenNothingRan) {
  ResendTable table;
  for (int i = 0; i < 100; ++i) {
    RecordFailedRequest(table, kRequest, MakeFailure(true, 500));
    EXPECT_TRUE(
        EvaluateResend(table, kCaller, kRequest, 0.1, Millis(600)).m_allowed);
  }
}

TEST(Resend, EqualRequestsBeyondTheFailuresAreNotResends) {
  ResendTable table;
  RecordFailedRequest(table, kRequest, MakeFailure(false, 0));
  EXPECT_TRUE(
      EvaluateResend(table, kCaller, kRequest, 0.1, Millis(1)).m_is_resend);
  EXPECT_FALSE(
      EvaluateResend(table, kCaller, kRequest, 0.1, Millis(2)).m_is_resend);
}

TEST(Resend, BoundsItsMemory) {
  ResendTable table;
  for (std::uint64_t i = 0; i < 3 * kMaxFailedRequests; ++i) {
    RecordFailedRequest(table, Fingerprint(i), MakeFailure(false, 0));
    (void)EvaluateResend(table, CallerName("c" + std::to_string(i)),
                         Fingerprint(i + 1'000'000), 0.1, Millis(1));
  }
  EXPECT_LE(table.m_failures.size(), kMaxFailedRequests);
  EXPECT_LE(table.m_order.size(), kMaxFailedRequests);
  EXPECT_LE(table.m_callers.size(), kMaxCallers);
}

}  // namespace
}  // namespace hemlockpoint
