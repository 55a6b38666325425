#include "hemlockpoint/dispatch/rank_limit.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

constexpr double kSlots = 40;

// Ends `count` calls, of which a share fails.
void End(RankLimit& limit,
         std::uint64_t rank,
         int count,
         double failing,
         double congestion = kHighDownstreamCongestion) {
  for (int i = 0; i < count; ++i) {
    const bool failed = i % 10 < failing * 10;
    RecordRankOutcome(limit, rank, failed, kSlots, congestion, Millis(i));
  }
}

TEST(RankLimit, FallsWithinTwentyFailedCalls) {
  RankLimit limit;
  limit.m_running = 20;
  End(limit, 2, 20, 1.0);
  EXPECT_LE(limit.m_limit, 10);
  EXPECT_FALSE(HasRankCapacity(limit, kSlots));
}

TEST(RankLimit, KeepsAMinimumToDetectTheEndOfAnOverload) {
  RankLimit limit;
  limit.m_running = 2;
  End(limit, 2, 1000, 1.0);
  EXPECT_EQ(limit.m_limit, kMinRankLimit);
  limit.m_running = 0;
  EXPECT_TRUE(HasRankCapacity(limit, kSlots));
}

TEST(RankLimit, GrowsAgainWhileItIsInUse) {
  RankLimit limit;
  limit.m_running = 2;
  End(limit, 2, 100, 1.0);
  for (int i = 0; i < 10; ++i) {
    limit.m_running = static_cast<std::size_t>(limit.m_limit);
    End(limit, 2, 10, 0);
  }
  EXPECT_GE(limit.m_limit, 10);
}

TEST(RankLimit, LowersTheLimitOfLessImportantRanksFirst) {
  RankLimit orders;
  RankLimit lookups;
  orders.m_running = lookups.m_running = 20;
  End(orders, 0, 100, 0.3);
  End(lookups, 2, 100, 0.3);
  EXPECT_EQ(orders.m_limit, kSlots);
  EXPECT_LT(lookups.m_limit, kSlots / 2);
}

TEST(RankLimit, FallsOnDownstreamCongestionBeforeAnyCallFails) {
  RankLimit lookups;
  RankLimit orders;
  lookups.m_running = orders.m_running = 20;
  for (int i = 0; i < 20; ++i) {
    LowerLimitOnCongestion(lookups, 2, kHighDownstreamCongestion, kSlots);
    LowerLimitOnCongestion(orders, 0, kHighDownstreamCongestion, kSlots);
  }
  EXPECT_LE(lookups.m_limit, 10.5);
  EXPECT_TRUE(HasRankCapacity(orders, kSlots));
  const double before = lookups.m_limit;
  LowerLimitOnCongestion(lookups, 2, kHighDownstreamCongestion / 2, kSlots);
  EXPECT_EQ(lookups.m_limit, before);
}

// A target that a neighbour slows runs out of time in half of its calls, while
// the services below have room: fewer calls would make none of them faster.
TEST(RankLimit, KeepsTheLimitWithoutDownstreamCongestion) {
  RankLimit limit;
  limit.m_running = 38;
  End(limit, 2, 500, 0.5, 0.1);
  EXPECT_EQ(limit.m_limit, kSlots);
}

TEST(RankLimit, GrowsFasterWithoutDownstreamCongestion) {
  RankLimit limit;
  limit.m_running = 2;
  End(limit, 2, 100, 1.0);
  ASSERT_EQ(limit.m_limit, kMinRankLimit);
  for (int i = 0; i < 10; ++i) {
    limit.m_running = static_cast<std::size_t>(limit.m_limit);
    End(limit, 2, 10, 0.1, 0);
  }
  EXPECT_EQ(limit.m_limit, kSlots);
}

TEST(RankLimit, IgnoresTheBaselineFailureRate) {
  RankLimit limit;
  limit.m_running = 20;
  for (int i = 0; i < 500; ++i) {
    RecordRankOutcome(limit, 2, i % 50 == 0, kSlots, kHighDownstreamCongestion,
                      Millis(i));
  }
  EXPECT_EQ(limit.m_limit, kSlots);
}

}  // namespace
}  // namespace hemlockpoint
