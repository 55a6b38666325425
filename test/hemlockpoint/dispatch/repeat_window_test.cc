#include "hemlockpoint/dispatch/repeat_window.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <deque>

namespace hemlockpoint {
namespace {

RC_GTEST_PROP(RepeatWindow, HoldsInEveryWindow, ()) {
  const RepeatShare share{0.1, 2, Millis(10'000)};
  RepeatWindow window;
  std::deque<double> requests;
  std::deque<double> repeats;
  double now = 0;
  for (int i = 0; i < 500; ++i) {
    now += *rc::gen::inRange(0, 200);
    CountRequest(window, share, Millis(now));
    requests.push_back(now);
    const bool taken = TakeRepeat(window, share, Millis(now));
    if (taken) {
      repeats.push_back(now);
    }
    while (!repeats.empty() && repeats.front() <= now - 9000) {
      repeats.pop_front();
    }
    while (!requests.empty() && requests.front() <= now - 10'000) {
      requests.pop_front();
    }
    RC_ASSERT(!taken || static_cast<double>(repeats.size()) <=
                            0.1 * static_cast<double>(requests.size()) + 2);
  }
}

TEST(RepeatWindow, InheritedRepeatsLeaveLessRoom) {
  const RepeatShare share{0.2, 0, Millis(10'000)};
  RepeatWindow window;
  for (int i = 0; i < 10; ++i) {
    CountRequest(window, share, Millis(i));
  }
  CountInheritedRepeat(window, share, Millis(20));
  EXPECT_TRUE(TakeRepeat(window, share, Millis(30)));
  EXPECT_FALSE(TakeRepeat(window, share, Millis(40)));
}

TEST(RepeatWindow, AllowsRepeatsAgainLater) {
  const RepeatShare share{0, 1, Millis(10'000)};
  RepeatWindow window;
  EXPECT_TRUE(TakeRepeat(window, share, Millis(0)));
  EXPECT_FALSE(TakeRepeat(window, share, Millis(5000)));
  EXPECT_TRUE(TakeRepeat(window, share, Millis(10'000)));
}

}  // namespace
}  // namespace hemlockpoint
