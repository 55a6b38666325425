#include "hemlockpoint/retry/budget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockpoint {
namespace {

constexpr std::size_t kMaxDepth = 4;

// Model of a call chain in which the service at each level retries its child
// call as often as it is allowed. Counts the attempts at the deepest service.
struct ChainModel {
  std::vector<RetryTokenBucket> m_buckets =
      std::vector<RetryTokenBucket>(kMaxDepth);
  double m_ratio = 1;
  std::uint64_t m_deepest_calls = 0;

  std::uint64_t Serve(std::size_t level, const ChildGrant& grant, int retries) {
    if (level == kMaxDepth) {
      ++m_deepest_calls;
      return 0;
    }
    RetryBudget budget;
    budget.m_attempts_left = grant.m_extra_attempts;
    budget.m_is_retry = grant.m_is_retry;
    for (int i = 0; i <= retries; ++i) {
      const auto child =
          ChargeChildAttempt(budget, m_buckets[level], Fingerprint(1), m_ratio);
      if (child) {
        SettleChildGrant(budget, *child, Serve(level + 1, *child, retries));
      }
    }
    return budget.m_spent;
  }
};

RC_GTEST_PROP(Budget, BoundsAttemptsOverTheWholeChain, ()) {
  const std::uint64_t extra = *rc::gen::inRange<std::uint64_t>(0, 10);
  const int retries = *rc::gen::inRange(0, 5);
  ChainModel chain;
  for (RetryTokenBucket& bucket : chain.m_buckets) {
    bucket.m_tokens = kMaxRetryTokens;
  }
  const std::uint64_t spent = chain.Serve(0, {extra, false}, retries);
  RC_ASSERT(spent <= extra);
  // Each extra attempt at any level adds at most one call of the deepest
  // service.
  RC_ASSERT(chain.m_deepest_calls <= 1 + extra);
}

TEST(Budget, RatioBoundsRetriesOverManyRequests) {
  ChainModel chain;
  chain.m_ratio = 0.025;
  constexpr int kRequests = 10'000;
  for (int i = 0; i < kRequests; ++i) {
    (void)chain.Serve(0, {2, false}, 3);
  }
  // Four hops of 2.5 % each, plus the burst of each bucket.
  EXPECT_LE(static_cast<double>(chain.m_deepest_calls), kRequests * 1.1 + 50);
}

TEST(Budget, ManyDistinctChildrenDoNotHideRetries) {
  RetryBudget budget;
  RetryTokenBucket bucket;
  bucket.m_tokens = 0;
  for (std::uint64_t i = 0; i < kMaxChildren; ++i) {
    EXPECT_TRUE(ChargeChildAttempt(budget, bucket, Fingerprint(i), 0));
  }
  EXPECT_FALSE(
      ChargeChildAttempt(budget, bucket, Fingerprint(kMaxChildren), 0));
}

TEST(Budget, ARenewedGrantCostsNothing) {
  RetryBudget budget;
  budget.m_attempts_left = 4;
  RetryTokenBucket bucket;
  const auto grant = ChargeChildAttempt(budget, bucket, Fingerprint(1), 0.1);
  SettleChildGrant(budget, *grant, 0);
  const ChildGrant renewed = RenewChildGrant(budget, *grant);
  SettleChildGrant(budget, renewed, 0);
  EXPECT_EQ(budget.m_attempts_left, 4U);
  EXPECT_EQ(budget.m_spent, 0U);
}

}  // namespace
}  // namespace hemlockpoint
