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
  failure.m_free_after = Millis(free_after);
  return failure;
}

TEST(Resend, KeepsTheFirstRequestsId) {
  ResendTable table;
  RememberFailure(table, kRequest, MakeFailure(false, 0));
  const auto verdict = JudgeResend(table, kCaller, kRequest, 0.1, Millis(10));
  EXPECT_TRUE(verdict.m_is_resend);
  EXPECT_EQ(*verdict.m_root, RequestId("first"));
}

TEST(Resend, CountsAgainstTheCallersShare) {
  ResendTable table;
  int allowed = 0;
  for (int i = 0; i < 100; ++i) {
    RememberFailure(table, kRequest, MakeFailure(false, 0));
    allowed += JudgeResend(table, kCaller, kRequest, 0.1, Millis(10)).m_allowed
                   ? 1
                   : 0;
  }
  EXPECT_EQ(allowed, 1);
}

TEST(Resend, IsFreeAfterTheToldDelayWhenNothingRan) {
  ResendTable table;
  for (int i = 0; i < 100; ++i) {
    RememberFailure(table, kRequest, MakeFailure(true, 500));
    EXPECT_TRUE(
        JudgeResend(table, kCaller, kRequest, 0.1, Millis(600)).m_allowed);
  }
}

TEST(Resend, EqualRequestsBeyondTheFailuresAreRequestsOfTheirOwn) {
  ResendTable table;
  RememberFailure(table, kRequest, MakeFailure(false, 0));
  EXPECT_TRUE(
      JudgeResend(table, kCaller, kRequest, 0.1, Millis(1)).m_is_resend);
  EXPECT_FALSE(
      JudgeResend(table, kCaller, kRequest, 0.1, Millis(2)).m_is_resend);
}

TEST(Resend, BoundsItsMemory) {
  ResendTable table;
  for (std::uint64_t i = 0; i < 3 * kMaxRememberedFailures; ++i) {
    RememberFailure(table, Fingerprint(i), MakeFailure(false, 0));
    (void)JudgeResend(table, CallerName("c" + std::to_string(i)),
                      Fingerprint(i + 1'000'000), 0.1, Millis(1));
  }
  EXPECT_LE(table.m_failures.size(), kMaxRememberedFailures);
  EXPECT_LE(table.m_order.size(), kMaxRememberedFailures);
  EXPECT_LE(table.m_callers.size(), kMaxCallers);
}

}  // namespace
}  // namespace hemlockpoint
