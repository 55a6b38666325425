#include "hemlockpoint/routing/throttle.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

TEST(Throttle, ThrottlesNothingToAHealthyService) {
  ThrottleState throttle;
  for (int i = 0; i < 1000; ++i) {
    RecordThrottleRequest(throttle, Millis(i));
    RecordThrottleAccept(throttle, Millis(i));
  }
  EXPECT_EQ(ThrottledShare(throttle, Millis(1000)), 0);
}

TEST(Throttle, ThrottlesCallsToAServiceThatAcceptsNone) {
  ThrottleState throttle;
  for (int i = 0; i < 1000; ++i) {
    RecordThrottleRequest(throttle, Millis(i));
  }
  const double share = ThrottledShare(throttle, Millis(1000));
  EXPECT_GT(share, 0.9);
  EXPECT_LT(share, 1);
}

TEST(Throttle, DecaysWithinSeconds) {
  ThrottleState throttle;
  for (int i = 0; i < 100; ++i) {
    RecordThrottleRequest(throttle, Millis(i));
  }
  EXPECT_EQ(ThrottledShare(throttle, Millis(20'000)), 0);
}

}  // namespace
}  // namespace hemlockpoint
