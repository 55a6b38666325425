#ifndef HEMLOCKPOINT_REPORT_BURN_H_
#define HEMLOCKPOINT_REPORT_BURN_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/policy/classify.h"

namespace hemlockpoint {

/// @brief Time that one bucket covers, and the number of buckets kept.
inline constexpr Millis kBurnBucketWidth(60'000);
inline constexpr std::size_t kBurnBucketCount = 360;

/// @brief Windows of the reported burn rates, in buckets: 5 minutes, 1 hour and
/// 6 hours, after Beyer et al., "The Site Reliability Workbook" (2018),
/// chapter 5.
inline constexpr std::array<std::size_t, 3> kBurnWindowBuckets = {5, 60, 360};

/// @brief Counts of the root calls that ended within one minute.
struct BurnBucket {
  std::int64_t m_minute = -1;
  std::uint64_t m_total_calls = 0;
  std::uint64_t m_bad_calls = 0;
};

/// @brief Latencies in milliseconds: count, mean, maximum, and a quantile that
/// is estimated with the P-square method (Jain and Chlamtac, 1985).
using LatencyStats = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::mean,
                               boost::accumulators::tag::max,
                               boost::accumulators::tag::p_square_quantile>>;

/// @brief Root calls of one entry node that one objective covers.
struct ObjectiveRecord {
  /// Share of calls that the objective requires to be good.
  double m_good_share = 0.99;
  std::array<BurnBucket, kBurnBucketCount> m_buckets;
  LatencyStats m_latency{boost::accumulators::quantile_probability = 0.99};
};

/// @brief Records by service, class name and objective ("section/rule").
struct BurnRateTable {
  std::map<std::array<std::string, 3>, ObjectiveRecord> m_records;
};

/// @brief Maximum number of records; calls that need a further one are not
/// counted.
inline constexpr std::size_t kMaxObjectiveRecords = 256;

/// @brief Counts an ended root call for the first objective that covers it. The
/// call is good if it succeeded within the latency of the objective.
/// @param is_success Whether the target responded with a status below 500.
void RecordObjectiveOutcome(BurnRateTable& table,
                            const Policy& policy,
                            const CallAttributes& work,
                            std::size_t priority_class,
                            bool is_success,
                            Millis latency,
                            Millis now);

/// @brief Counts of the calls of a record over its latest buckets.
struct ObjectiveTotals {
  std::uint64_t m_total_calls = 0;
  std::uint64_t m_bad_calls = 0;
};
[[nodiscard]] ObjectiveTotals SumLastBuckets(const ObjectiveRecord& record,
                                             std::size_t bucket_count,
                                             Millis now);

/// @return The rate at which the error budget is spent, relative to the rate
/// that spends it exactly; 0 without calls.
/// @param good_share Share of calls that the objective requires to be good.
[[nodiscard]] double BurnRate(const ObjectiveTotals& totals, double good_share);

/// @return One JSON object per record, with its totals over each window.
[[nodiscard]] nlohmann::ordered_json BurnRatesToJson(const BurnRateTable& table,
                                                     Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_REPORT_BURN_H_
