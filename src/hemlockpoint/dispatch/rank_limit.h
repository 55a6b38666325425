#ifndef HEMLOCKPOINT_DISPATCH_RANK_LIMIT_H_
#define HEMLOCKPOINT_DISPATCH_RANK_LIMIT_H_

#include <cstdint>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Adaptive concurrency limit for the root calls of one rank at one
/// target.
///
/// The limit follows the outcomes of the calls. A call whose nested calls go
/// to an overloaded service fails although the target has free slots, so the
/// slots alone don't bound the load on downstream services.
struct RankLimit {
  /// 0 while no limit is set; the slots of the target apply then.
  double m_limit = 0;
  std::size_t m_running = 0;
  /// Outcomes recorded since the last decision on the limit.
  double m_outcomes = 0;
  double m_failed_outcomes = 0;
  Millis m_last_decision;
};

/// @brief Lower bound of a limit. Some calls of each rank must run for the end
/// of an overload to be detected.
inline constexpr double kMinRankLimit = 4;

/// @brief Failure rate up to which failures are not attributed to overload. It
/// is lower for less important ranks, so that their limits fall first.
/// @param rank 0 is the most important.
/// @return A share in [0, 1].
[[nodiscard]] double ToleratedFailureRate(std::uint64_t rank);

/// @brief Downstream congestion below which failures are attributed to the
/// target itself. Its limit isn't lowered then, since fewer calls would not
/// make it faster. Unit: see kHighDownstreamCongestion.
inline constexpr double kMinDownstreamCongestion = 0.3;

/// @brief Records the outcome of a root call. After enough outcomes it raises
/// the limit or lowers it by a factor.
/// @param slots Slots of the target, the upper bound of the limit.
/// @param congestion Recent downstream congestion of the nested calls.
void RecordRankOutcome(RankLimit& limit,
                       std::uint64_t rank,
                       bool failed,
                       double slots,
                       double congestion,
                       Millis now);

/// @brief Downstream congestion from which a service counts as overloaded.
/// Congestion is the mean wait for a slot divided by the mean service time.
inline constexpr double kHighDownstreamCongestion = 1.2;
/// @brief First rank whose limit is lowered on downstream congestion alone.
/// More important ranks are lowered only after failures.
inline constexpr std::uint64_t kFirstCongestionLimitedRank = 2;
/// @brief Interval between calls of LowerLimitOnCongestion().
inline constexpr Millis kCongestionCheckPeriod(100);

/// @brief Lowers the limit of a less important rank while a downstream service
/// is overloaded, before calls fail.
/// @param congestion Recent downstream congestion of the nested calls.
void LowerLimitOnCongestion(RankLimit& limit,
                            std::uint64_t rank,
                            double congestion,
                            double slots);

/// @return Whether one more root call of the rank may run.
[[nodiscard]] bool HasRankCapacity(const RankLimit& limit, double slots);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_RANK_LIMIT_H_
