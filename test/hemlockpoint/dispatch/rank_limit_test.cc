#include "hemlockpoint/dispatch/rank_limit.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

constexpr double kSlots = 40;

// Records the outcomes of `count` calls at the given failure rate.
void RecordOutcomes(RankLimit& limit,
                    std::uint64_t rank,
                    int count,
                    double failure_rate,
                    double congestion = kHighDownstreamCongestion) {
  for (int i = 0; i < count; ++i) {
    const bool failed = i % 10 < failure_rate * 10;
    RecordRankOutcome(limit, rank, failed, kSlots, congestion, Millis(i));
  }
}

TEST(RankLimit, FallsWithinTwentyFailedCalls) {
  RankLimit limit;
  limit.m_running = 20;
  RecordOutcomes(limit, 2, 20, 1.0);
  EXPECT_LE(limit.m_limit, 10);
  EXPECT_FALSE(HasRankCapacity(limit, kSlots));
}

TEST(RankLimit, KeepsAMinimumToDetectTheEndOfAnOverload) {
  RankLimit limit;
  limit.m_running = 2;
  RecordOutcomes(limit, 2, 1000, 1.0);
  EXPECT_EQ(limit.m_limit, kMinRankLimit);
  limit.m_running = 0;
  EXPECT_TRUE(HasRankCapacity(limit, kSlots));
}

TEST(RankLimit, GrowsAgainWhileItIsInUse) {
  RankLimit limit;
  limit.m_running = 2;
  RecordOutcomes(limit, 2, 100, 1.0);
  for (int i = 0; i < 10; ++i) {
    limit.m_running = static_cast<std::size_t>(limit.m_limit);
    RecordOutcomes(limit, 2, 10, 0);
  }
  EXPECT_GE(limit.m_limit, 10);
}

TEST(RankLimit, LowersTheLimitOfLessImportantRanksFirst) {
  RankLimit rank0;
  RankLimit rank2;
  rank0.m_running = rank2.m_running = 20;
  RecordOutcomes(rank0, 0, 100, 0.3);
  RecordOutcomes(rank2, 2, 100, 0.3);
  EXPECT_EQ(rank0.m_limit, kSlots);
  EXPECT_LT(rank2.m_limit, kSlots / 2);
}

TEST(RankLimit, FallsOnDownstreamCongestionBeforeAnyCallFails) {
  RankLimit rank2;
  RankLimit rank0;
  rank2.m_running = rank0.m_running = 20;
  for (int i = 0; i < 20; ++i) {
    LowerLimitOnCongestion(rank2, 2, kHighDownstreamCongestion, kSlots);
    LowerLimitOnCongestion(rank0, 0, kHighDownstreamCongestion, kSlots);
  }
  EXPECT_LE(rank2.m_limit, 10.5);
  EXPECT_TRUE(HasRankCapacity(rank0, kSlots));
  const double before = rank2.m_limit;
  LowerLimitOnCongestion(rank2, 2, kHighDownstreamCongestion / 2, kSlots);
  EXPECT_EQ(rank2.m_limit, before);
}

// A target that is slowed down by another process fails half of its calls,
// while the downstream services have free capacity. A lower limit would not
// make its calls faster.
TEST(RankLimit, KeepsTheLimitWithoutDownstreamCongestion) {
  RankLimit limit;
  limit.m_running = 38;
  RecordOutcomes(limit, 2, 500, 0.5, 0.1);
  EXPECT_EQ(limit.m_limit, kSlots);
}

TEST(RankLimit, GrowsFasterWithoutDownstreamCongestion) {
  RankLimit limit;
  limit.m_running = 2;
  RecordOutcomes(limit, 2, 100, 1.0);
  ASSERT_EQ(limit.m_limit, kMinRankLimit);
  for (int i = 0; i < 10; ++i) {
    limit.m_running = static_cast<std::size_t>(limit.m_limit);
    RecordOutcomes(limit, 2, 10, 0.1, 0);
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
