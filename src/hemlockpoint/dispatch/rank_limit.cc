#include "hemlockpoint/dispatch/rank_limit.h"

#include <algorithm>

namespace hemlockpoint {

namespace {

// Ends over which a share of failures is taken.
constexpr double kEndsForDecision = 10;
// A decision on fewer ends waits so long, a short call chain's time.
constexpr Millis kDecisionPeriod(500);
constexpr double kFewestEnds = 4;
// Factor of a cut when every call has failed; a smaller share cuts less.
constexpr double kDeepestCut = 0.5;
constexpr double kRaise = 2;
// While nothing below is congested, a limit doubles within a second of a
// target with a few hundred ends a second.
constexpr double kFreeRaise = 1.25;
// Part of the limit that must be in use for it to be raised.
constexpr double kUsedShare = 0.8;
// A tenth of a second's cut: a limit halves within two seconds.
constexpr double kYield = 0.96;

}  // namespace

double ToleratedFailures(std::uint64_t rank) {
  constexpr double kMostImportant = 0.5;
  constexpr double kImportant = 0.3;
  constexpr double kOther = 0.25;
  if (rank == 0) {
    return kMostImportant;
  }
  return rank == 1 ? kImportant : kOther;
}

void RecordRankEnd(RankLimit& limit,
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
  const bool enough =
      limit.m_ends >= kEndsForDecision ||
      (limit.m_ends >= kFewestEnds && now - limit.m_changed > kDecisionPeriod);
  if (!enough) {
    return;
  }
  const double share = limit.m_failures / limit.m_ends;
  const auto running = static_cast<double>(limit.m_running);
  const bool congested = congestion >= kUncongestedLevel;
  if (share > ToleratedFailures(rank) && congested) {
    limit.m_limit =
        std::min(limit.m_limit, running + 1) * (1 - (1 - kDeepestCut) * share);
  } else if (running + 1 >= limit.m_limit * kUsedShare) {
    limit.m_limit = congested ? limit.m_limit + kRaise
                              : limit.m_limit * kFreeRaise + kRaise;
  }
  limit.m_limit = std::clamp(limit.m_limit, kLeastRankLimit,
                             std::max(kLeastRankLimit, slots));
  limit.m_ends = 0;
  limit.m_failures = 0;
  limit.m_changed = now;
}

void YieldToCongestion(RankLimit& limit,
                       std::uint64_t rank,
                       double level,
                       double slots) {
  if (rank < kFirstYieldingRank || level < kCongestedLevel) {
    return;
  }
  const double bound = limit.m_limit > 0 ? limit.m_limit : slots;
  const double used = std::min(bound, static_cast<double>(limit.m_running) + 1);
  limit.m_limit = std::max(kLeastRankLimit, used * kYield);
}

bool HasRankRoom(const RankLimit& limit, double slots) {
  const double bound = limit.m_limit > 0 ? limit.m_limit : slots;
  return static_cast<double>(limit.m_running) + 1 <= std::max(1.0, bound);
}

}  // namespace hemlockpoint
