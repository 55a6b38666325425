#include "hemlockpoint/outcome/refusal.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockpoint {
namespace {

TEST(Refusal, EveryReasonHasItsOwnCode) {
  for (std::size_t i = 0; i < kReasonCount; ++i) {
    const auto reason = static_cast<Reason>(i);
    EXPECT_EQ(ParseReason(ToText(reason)), reason);
  }
}

TEST(Refusal, UnknownOutcomeIsNeverWorthAnotherTarget) {
  for (std::size_t i = 0; i < kReasonCount; ++i) {
    EXPECT_FALSE(
        IsWorthAnotherTarget(MakeUnknownOutcome(static_cast<Reason>(i), {})));
  }
}

RC_GTEST_PROP(Refusal, RetryAfterIsJittered, ()) {
  const double random = *rc::gen::inRange(0, 1000) / 1000.0;
  const Millis delay = JitteredRetryAfter(Millis(100), random);
  RC_ASSERT(delay >= Millis(100) && delay < Millis(200));
}

}  // namespace
}  // namespace hemlockpoint
