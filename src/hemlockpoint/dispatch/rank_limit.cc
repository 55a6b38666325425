#include "hemlockpoint/dispatch/rank_limit.h"

#include <algorithm>

namespace hemlockpoint {

namespace {

// Outcomes after which a failure rate is computed and the limit is evaluated.
constexpr double kOutcomesPerDecision = 10;
// With few outcomes, a decision is made after this time, about the duration of
// a short call chain, if there are at least kMinOutcomesPerDecision.
constexpr Millis kDecisionTimeout(500);
constexpr double kMinOutcomesPerDecision = 4;
// Factor applied to the limit when all calls failed. A lower failure rate
// lowers the limit proportionally less.
constexpr double kMinDecreaseFactor = 0.5;
constexpr double kAdditiveIncrease = 2;
// Applied in addition without downstream congestion: a limit doubles within a
// second at a target that completes a few hundred calls per second.
constexpr double kUncongestedIncreaseFactor = 1.25;
// Share of the limit that must be in use for the limit to be raised.
constexpr double kMinUtilizationToRaise = 0.8;
// Applied once per kCongestionCheckPeriod: a limit halves within two seconds.
constexpr double kCongestionDecreaseFactor = 0.96;

}  // namespace

double ToleratedFailureRate(std::uint64_t rank) {
  constexpr double kRank0 = 0.5;
  constexpr double kRank1 = 0.3;
  constexpr double kOtherRanks = 0.25;
  if (rank == 0) {
    return kRank0;
  }
  return rank == 1 ? kRank1 : kOtherRanks;
}

void RecordRankOutcome(RankLimit& limit,
                       std::uint64_t rank,
                       bool failed,
                       double slots,
                       double congestion,
                       Millis now) {
  if (limit.m_limit <= 0) {
    limit.m_limit = slots;
    limit.m_last_decision = now;
  }
  limit.m_outcomes += 1;
  limit.m_failed_outcomes += failed ? 1 : 0;
  const bool has_enough_outcomes =
      limit.m_outcomes >= kOutcomesPerDecision ||
      (limit.m_outcomes >= kMinOutcomesPerDecision &&
       now - limit.m_last_decision > kDecisionTimeout);
  if (!has_enough_outcomes) {
    return;
  }
  const double failure_rate = limit.m_failed_outcomes / limit.m_outcomes;
  const auto running = static_cast<double>(limit.m_running);
  const bool is_congested = congestion >= kMinDownstreamCongestion;
  if (failure_rate > ToleratedFailureRate(rank) && is_congested) {
    limit.m_limit = std::min(limit.m_limit, running + 1) *
                    (1 - (1 - kMinDecreaseFactor) * failure_rate);
  } else if (running + 1 >= limit.m_limit * kMinUtilizationToRaise) {
    limit.m_limit = is_congested ? limit.m_limit + kAdditiveIncrease
                                 : limit.m_limit * kUncongestedIncreaseFactor +
                                       kAdditiveIncrease;
  }
  limit.m_limit =
      std::clamp(limit.m_limit, kMinRankLimit, std::max(kMinRankLimit, slots));
  limit.m_outcomes = 0;
  limit.m_failed_outcomes = 0;
  limit.m_last_decision = now;
}

void LowerLimitOnCongestion(RankLimit& limit,
                            std::uint64_t rank,
                            double congestion,
                            double slots) {
  if (rank < kFirstCongestionLimitedRank ||
      congestion < kHighDownstreamCongestion) {
    return;
  }
  const double bound = limit.m_limit > 0 ? limit.m_limit : slots;
  const double used = std::min(bound, static_cast<double>(limit.m_running) + 1);
  limit.m_limit = std::max(kMinRankLimit, used * kCongestionDecreaseFactor);
}

bool HasRankCapacity(const RankLimit& limit, double slots) {
  const double bound = limit.m_limit > 0 ? limit.m_limit : slots;
  return static_cast<double>(limit.m_running) + 1 <= std::max(1.0, bound);
}

}  // namespace hemlockpoint
