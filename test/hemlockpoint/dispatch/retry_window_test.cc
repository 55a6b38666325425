#include "hemlockpoint/dispatch/retry_window.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <deque>

namespace hemlockpoint {
namespace {

RC_GTEST_PROP(RetryWindow, HoldsInEveryWindow, ()) {
  const RetryAllowance allowance{0.1, 2, Millis(10'000)};
  RetryWindow window;
  std::deque<double> first_attempts;
  std::deque<double> retries;
  double now = 0;
  for (int i = 0; i < 500; ++i) {
    now += *rc::gen::inRange(0, 200);
    RecordFirstAttempt(window, allowance, Millis(now));
    first_attempts.push_back(now);
    const bool is_charged = TryChargeRetry(window, allowance, 0, Millis(now));
    if (is_charged) {
      retries.push_back(now);
    }
    while (!retries.empty() && retries.front() <= now - 10'000) {
      retries.pop_front();
    }
    while (!first_attempts.empty() && first_attempts.front() <= now - 10'000) {
      first_attempts.pop_front();
    }
    RC_ASSERT(!is_charged ||
              static_cast<double>(retries.size()) <=
                  0.1 * static_cast<double>(first_attempts.size()) + 2);
  }
}

TEST(RetryWindow, InheritedRetriesReduceTheAllowance) {
  const RetryAllowance allowance{0.2, 0, Millis(10'000)};
  RetryWindow window;
  for (int i = 0; i < 10; ++i) {
    RecordFirstAttempt(window, allowance, Millis(i));
  }
  RecordInheritedRetry(window, allowance, 0, Millis(20));
  EXPECT_TRUE(TryChargeRetry(window, allowance, 0, Millis(30)));
  EXPECT_FALSE(TryChargeRetry(window, allowance, 0, Millis(40)));
}

TEST(RetryWindow, AllowsRetriesAgainAfterTheWindow) {
  const RetryAllowance allowance{0, 1, Millis(10'000)};
  RetryWindow window;
  EXPECT_TRUE(TryChargeRetry(window, allowance, 0, Millis(0)));
  EXPECT_FALSE(TryChargeRetry(window, allowance, 0, Millis(5000)));
  // The window plus the length of a slice, half a second.
  EXPECT_TRUE(TryChargeRetry(window, allowance, 0, Millis(10'500)));
}

// A service refuses more than half of its calls for 8 s, and the allowance
// suffices for the retries of the more important of two ranks only.
TEST(RetryWindow, MoreImportantRanksGetTheirRetriesFirst) {
  const RetryAllowance allowance{0.2, 5, Millis(10'000)};
  RetryWindow window;
  std::array<int, 3> requested{};
  std::array<int, 3> allowed{};
  // 40 calls per second of rank 0 and 160 of rank 2.
  for (int i = 0; i < 3600; ++i) {
    const Millis now(i * 5.0);
    const std::uint64_t rank = i % 5 == 0 ? 0 : 2;
    RecordFirstAttempt(window, allowance, now);
    const bool is_refused = now >= Millis(10'000) && (i * 7) % 20 < 11;
    if (is_refused) {
      ++requested[rank];
      allowed[rank] += TryChargeRetry(window, allowance, rank, now) ? 1 : 0;
    }
  }
  EXPECT_GE(allowed[0], requested[0] * 9 / 10);
  EXPECT_GT(allowed[2], 0);
  EXPECT_LT(allowed[2], requested[2] / 2);
}

TEST(RetryWindow, LessImportantRanksGetTheRetriesThatOthersDoNotAskFor) {
  const RetryAllowance allowance{0, 10, Millis(10'000)};
  RetryWindow window;
  EXPECT_TRUE(TryChargeRetry(window, allowance, 0, Millis(100)));
  int allowed = 0;
  for (int i = 0; i < 20; ++i) {
    allowed += TryChargeRetry(window, allowance, 2, Millis(3000)) ? 1 : 0;
  }
  EXPECT_EQ(allowed, 9);
}

}  // namespace
}  // namespace hemlockpoint
