#ifndef HEMLOCKPOINT_DISPATCH_RANK_LIMIT_H_
#define HEMLOCKPOINT_DISPATCH_RANK_LIMIT_H_

#include <cstdint>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief How many requests of one rank a target works on at the same time,
/// found from how they end. Work that calls further services fails when one
/// of those is overloaded, which the target's own slots don't show.
struct RankLimit {
  double m_limit = 0;
  std::size_t m_running = 0;
  /// Ends since the limit was changed last.
  double m_ends = 0;
  double m_failures = 0;
  Millis m_changed;
};

/// @brief Requests of a rank that may always run, so that the end of an
/// overload is noticed.
inline constexpr double kMinRankLimit = 4;

/// @brief Share of failures that is taken for the work's own, by importance:
/// less important work gives way first.
/// @param rank 0 is the most important.
[[nodiscard]] double ToleratedFailureRate(std::uint64_t rank);

/// @brief Below this level of congestion at the services that runs call,
/// failures are put down to the target itself, which fewer runs don't make
/// faster.
inline constexpr double kMinDownstreamCongestion = 0.3;

/// @brief Takes in how a call has ended, and raises the limit or lowers it by
/// a factor.
/// @param slots The target's slots, which no limit exceeds.
/// @param congestion Congestion that nested calls have met of late.
void RecordRankOutcome(RankLimit& limit,
                       std::uint64_t rank,
                       bool failed,
                       double slots,
                       double congestion,
                       Millis now);

/// @brief How long calls wait, over how long they are worked on: from here on
/// waiting is taken for an overload.
inline constexpr double kHighDownstreamCongestion = 1.2;
/// @brief Ranks from here on give way to congestion of the services that their
/// runs call.
inline constexpr std::uint64_t kFirstCongestionLimitedRank = 2;
/// @brief Time between two looks at the congestion.
inline constexpr Millis kCongestionCheckPeriod(100);

/// @brief Lowers the limit of requests whose nested calls meet a congested
/// service, before any of them has failed.
/// @param level Congestion that nested calls have met of late.
void LowerLimitOnCongestion(RankLimit& limit,
                            std::uint64_t rank,
                            double level,
                            double slots);

/// @return Whether another request of the rank may run.
[[nodiscard]] bool HasRankCapacity(const RankLimit& limit, double slots);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_RANK_LIMIT_H_
