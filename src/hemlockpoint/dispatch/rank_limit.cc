#include "hemlockpoint/dispatch/rank_limit.h"

#include <algorithm>

namespace hemlockpoint {

namespace {

// Ends over which a share of failures is taken.
constexpr double kOutcomesPerDecision = 10;
// A decision on fewer ends waits so long, a short call chain's time.
constexpr Millis kDecisionTimeout(500);
constexpr double kMinOutcomesPerDecision = 4;
// Factor of a cut when every call has failed; a smaller share cuts less.
constexpr double kMinDecreaseFactor = 0.5;
constexpr double kAdditiveIncrease = 2;
// While nothing below is congested, a limit doubles within a second of a
// target with a few hundred ends a second.
constexpr double kUncongestedIncreaseFactor = 1.25;
// Part of the limit that must be in use for it to be raised.
constexpr double kMinUtilizationToRaise = 0.8;
// A tenth of a second's cut: a limit halves within two seconds.
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
    limit.m_changed = now;
  }
  limit.m_ends += 1;
  limit.m_failures += failed ? 1 : 0;
  const bool enough = limit.m_ends >= kOutcomesPerDecision ||
                      (limit.m_ends >= kMinOutcomesPerDecision &&
                       now - limit.m_changed > kDecisionTimeout);
  if (!enough) {
    return;
  }
  const double share = limit.m_failures / limit.m_ends;
  const auto running = static_cast<double>(limit.m_running);
  const bool congested = congestion >= kMinDownstreamCongestion;
  if (share > ToleratedFailureRate(rank) && congested) {
    limit.m_limit = std::min(limit.m_limit, running + 1) *
                    (1 - (1 - kMinDecreaseFactor) * share);
  } else if (running + 1 >= limit.m_limit * kMinUtilizationToRaise) {
    limit.m_limit = congested ? limit.m_limit + kAdditiveIncrease
                              : limit.m_limit * kUncongestedIncreaseFactor +
                                    kAdditiveIncrease;
  }
  limit.m_limit =
      std::clamp(limit.m_limit, kMinRankLimit, std::max(kMinRankLimit, slots));
  limit.m_ends = 0;
  limit.m_failures = 0;
  limit.m_changed = now;
}

void LowerLimitOnCongestion(RankLimit& limit,
                            std::uint64_t rank,
                            double level,
                            double slots) {
  if (rank < kFirstCongestionLimitedRank || level < kHighDownstreamCongestion) {
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
