#include "hemlockpoint/dispatch/retry_window.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <deque>

namespace hemlockpoint {
namespace {

RC_GTEST_PROP(RetryWindow, HoldsInEveryWindow, ()) {
  const RetryAllowance share{0.1, 2, Millis(10'000)};
  RetryWindow window;
  std::deque<double> requests;
  std::deque<double> repeats;
  double now = 0;
  for (int i = 0; i < 500; ++i) {
    now += *rc::gen::inRange(0, 200);
    RecordFirstAttempt(window, share, Millis(now));
    requests.push_back(now);
    const bool taken = TryChargeRetry(window, share, 0, Millis(now));
    if (taken) {
      repeats.push_back(now);
    }
    while (!repeats.empty() && repeats.front() <= now - 10'000) {
      repeats.pop_front();
    }
    while (!requests.empty() && requests.front() <= now - 10'000) {
      requests.pop_front();
    }
    RC_ASSERT(!taken || static_cast<double>(repeats.size()) <=
                            0.1 * static_cast<double>(requests.size()) + 2);
  }
}

TEST(RetryWindow, InheritedRetriesReduceTheAllowance) {
  const RetryAllowance share{0.2, 0, Millis(10'000)};
  RetryWindow window;
  for (int i = 0; i < 10; ++i) {
    RecordFirstAttempt(window, share, Millis(i));
  }
  RecordInheritedRetry(window, share, 0, Millis(20));
  EXPECT_TRUE(TryChargeRetry(window, share, 0, Millis(30)));
  EXPECT_FALSE(TryChargeRetry(window, share, 0, Millis(40)));
}

TEST(RetryWindow, AllowsRetriesAgainAfterTheWindow) {
  const RetryAllowance share{0, 1, Millis(10'000)};
  RetryWindow window;
  EXPECT_TRUE(TryChargeRetry(window, share, 0, Millis(0)));
  EXPECT_FALSE(TryChargeRetry(window, share, 0, Millis(5000)));
  // Half a second later than the window, the length of a bucket.
  EXPECT_TRUE(TryChargeRetry(window, share, 0, Millis(10'500)));
}

// A service turns away more than half of its calls for 8 s, and the repeats
// that are allowed suffice for the more important of two kinds of work only.
TEST(RetryWindow, MoreImportantRanksGetTheirRetriesFirst) {
  const RetryAllowance share{0.2, 5, Millis(10'000)};
  RetryWindow window;
  std::array<int, 3> asked{};
  std::array<int, 3> allowed{};
  // 40 requests a second of rank 0 and 160 of rank 2.
  for (int i = 0; i < 3600; ++i) {
    const Millis now(i * 5.0);
    const std::uint64_t rank = i % 5 == 0 ? 0 : 2;
    RecordFirstAttempt(window, share, now);
    const bool turned_away = now >= Millis(10'000) && (i * 7) % 20 < 11;
    if (turned_away) {
      ++asked[rank];
      allowed[rank] += TryChargeRetry(window, share, rank, now) ? 1 : 0;
    }
  }
  EXPECT_GE(allowed[0], asked[0] * 9 / 10);
  EXPECT_GT(allowed[2], 0);
  EXPECT_LT(allowed[2], asked[2] / 2);
}

TEST(RetryWindow, LessImportantRanksGetTheRetriesThatOthersDoNotAskFor) {
  const RetryAllowance share{0, 10, Millis(10'000)};
  RetryWindow window;
  EXPECT_TRUE(TryChargeRetry(window, share, 0, Millis(100)));
  int allowed = 0;
  for (int i = 0; i < 20; ++i) {
    allowed += TryChargeRetry(window, share, 2, Millis(3000)) ? 1 : 0;
  }
  EXPECT_EQ(allowed, 9);
}

}  // namespace
}  // namespace hemlockpoint
