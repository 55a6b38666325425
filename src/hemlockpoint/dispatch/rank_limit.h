#ifndef HEMLOCKPOINT_DISPATCH_RANK_LIMIT_H_
#define HEMLOCKPOINT_DISPATCH_RANK_LIMIT_H_

#include <cstdint>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Adaptive concurrency limit for the root calls of one rank at one
/// target.
///
/// The slots of the target don't bound the load on downstream services, the
/// services that its nested calls reach: while one of these is overloaded,
/// calls fail although the target has free slots. So the limit falls when root
/// calls fail because of an overloaded downstream service.
struct RankLimit {
  /// 0 while no limit is set; the slots of the target apply then.
  double m_limit = 0;
  std::size_t m_running = 0;
  /// Outcomes, and failures among them, since the limit was last evaluated.
  double m_outcomes = 0;
  double m_failed_outcomes = 0;
  Millis m_last_decision;
};

/// @brief Lower bound of a limit. To detect the end of an overload, some calls
/// of each rank must run.
inline constexpr double kMinRankLimit = 4;

/// @brief Failure rate above which failures count as overload. Higher rank
/// numbers, which are less important, tolerate less, so that their limits fall
/// first.
/// @param rank 0 is the most important.
/// @return A share in [0, 1].
[[nodiscard]] double ToleratedFailureRate(std::uint64_t rank);

/// @brief Downstream congestion from which on failures lower the limit. Below
/// it the target itself is taken as their cause, and fewer calls would not make
/// it faster. Unit: see kHighDownstreamCongestion.
inline constexpr double kMinDownstreamCongestion = 0.3;

/// @brief Records the outcome of a root call. After enough outcomes it raises,
/// lowers or keeps the limit.
/// @param slots Slots of the target. The limit is at most this, but at least
/// kMinRankLimit.
/// @param congestion Recent downstream congestion, as reported in the responses
/// to the target's nested calls.
void RecordRankOutcome(RankLimit& limit,
                       std::uint64_t rank,
                       bool failed,
                       double slots,
                       double congestion,
                       Millis now);

/// @brief Downstream congestion from which on a downstream service counts as
/// overloaded. Congestion is the mean wait for a slot divided by the mean
/// service time.
inline constexpr double kHighDownstreamCongestion = 1.2;
/// @brief Most important rank whose limit is lowered on downstream congestion
/// alone. The limits of ranks above it in importance fall only after failures.
inline constexpr std::uint64_t kFirstCongestionLimitedRank = 2;
/// @brief Interval between calls of LowerLimitOnCongestion().
inline constexpr Millis kCongestionCheckPeriod(100);

/// @brief Lowers the limit of a less important rank while a downstream service
/// is overloaded, before calls fail.
/// @param congestion As for RecordRankOutcome().
void LowerLimitOnCongestion(RankLimit& limit,
                            std::uint64_t rank,
                            double congestion,
                            double slots);

/// @return Whether one more root call of the rank may run.
[[nodiscard]] bool HasRankCapacity(const RankLimit& limit, double slots);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_RANK_LIMIT_H_
