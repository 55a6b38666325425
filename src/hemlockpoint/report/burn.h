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

/// @brief Width of one bucket of calls, and how many are kept.
inline constexpr Millis kBurnBucketWidth(60'000);
inline constexpr std::size_t kBurnBucketCount = 360;

/// @brief Windows over which burn is reported, in buckets: 5 minutes, an hour
/// and six hours, after Beyer et al., "The Site Reliability Workbook" (2018),
/// chapter 5.
inline constexpr std::array<std::size_t, 3> kBurnWindowBuckets = {5, 60, 360};

/// @brief Calls of one minute.
struct BurnBucket {
  std::int64_t m_minute = -1;
  std::uint64_t m_total_calls = 0;
  std::uint64_t m_bad_calls = 0;
};

/// @brief Answer times in ms: mean, largest, and a quantile estimated with the
/// P-square method (Jain and Chlamtac, 1985).
using LatencyStats = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::mean,
                               boost::accumulators::tag::max,
                               boost::accumulators::tag::p_square_quantile>>;

/// @brief Calls that one objective covers, at one entry node.
struct ObjectiveRecord {
  double m_good_share = 0.99;
  std::array<BurnBucket, kBurnBucketCount> m_buckets;
  LatencyStats m_latency{boost::accumulators::quantile_probability = 0.99};
};

/// @brief Records by service, class name and objective.
struct BurnRateTable {
  std::map<std::array<std::string, 3>, ObjectiveRecord> m_records;
};

/// @brief Records at most; further ones are not kept.
inline constexpr std::size_t kMaxObjectiveRecords = 256;

/// @brief Counts an ended root call against the first objective that covers
/// it.
/// @param answered Whether the target answered with a status below 500.
void RecordObjectiveOutcome(BurnRateTable& table,
                            const Policy& policy,
                            const CallAttributes& work,
                            std::size_t priority_class,
                            bool answered,
                            Millis latency,
                            Millis now);

/// @brief Calls of a record over the last buckets.
struct ObjectiveTotals {
  std::uint64_t m_total_calls = 0;
  std::uint64_t m_bad_calls = 0;
};
[[nodiscard]] ObjectiveTotals SumLastBuckets(const ObjectiveRecord& record,
                                             std::size_t buckets,
                                             Millis now);

/// @return How many times faster than allowed the budget of bad calls is
/// spent; 1 spends it exactly.
[[nodiscard]] double BurnRate(const ObjectiveTotals& sum, double good_share);

/// @return Every record with its sums over each window.
[[nodiscard]] nlohmann::ordered_json BurnRatesToJson(const BurnRateTable& table,
                                                     Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_REPORT_BURN_H_
