#include "hemlockpoint/dispatch/retry_window.h"

#include <algorithm>
#include <cmath>

namespace hemlockpoint {

namespace {

using Bucket = RetryWindow::Bucket;

// Complete slices, besides the current one, over which the demand of a rank is
// measured: 1 s with the default window of 10 s.
constexpr std::int64_t kDemandSlices = 2;

Millis SliceLength(const RetryAllowance& allowance) {
  return allowance.m_window *
         (1.0 / static_cast<double>(RetryWindow::kBuckets));
}

std::int64_t SliceIndexAt(const RetryAllowance& allowance, Millis now) {
  return static_cast<std::int64_t>(std::floor(now / SliceLength(allowance)));
}

Bucket& CurrentBucket(RetryWindow& window, std::int64_t slice) {
  Bucket& bucket =
      window
          .m_buckets[static_cast<std::size_t>(slice) % window.m_buckets.size()];
  if (bucket.m_slice_index != slice) {
    bucket = {};
    bucket.m_slice_index = slice;
  }
  return bucket;
}

std::size_t RankIndex(std::uint64_t rank) {
  return static_cast<std::size_t>(
      std::min<std::uint64_t>(rank, RetryWindow::kRanks - 1));
}

// Sums over the window, as needed to decide for one rank.
struct WindowTotals {
  double m_first_attempts = 0;
  double m_retries = 0;
  // Retries of this rank and of less important ranks.
  double m_retries_from_rank = 0;
  // Retries that more important ranks requested within kDemandSlices.
  double m_higher_rank_demand = 0;
};

WindowTotals ComputeTotals(const RetryWindow& window,
                           std::int64_t slice,
                           std::size_t rank) {
  constexpr auto kBuckets = static_cast<std::int64_t>(RetryWindow::kBuckets);
  WindowTotals totals;
  for (const Bucket& bucket : window.m_buckets) {
    const std::int64_t age = slice - bucket.m_slice_index;
    if (bucket.m_slice_index < 0 || age < 0 || age > kBuckets) {
      continue;
    }
    // The oldest slice lies only partly in the window. Its retries count, its
    // first attempts don't, so that the allowance is never exceeded.
    totals.m_first_attempts +=
        age < kBuckets ? static_cast<double>(bucket.m_first_attempts) : 0;
    for (std::size_t i = 0; i < RetryWindow::kRanks; ++i) {
      const auto retries = static_cast<double>(bucket.m_retries[i]);
      totals.m_retries += retries;
      totals.m_retries_from_rank += i >= rank ? retries : 0;
      const bool is_recent_demand = i < rank && age <= kDemandSlices;
      totals.m_higher_rank_demand +=
          is_recent_demand ? static_cast<double>(bucket.m_requested_retries[i])
                           : 0;
    }
  }
  return totals;
}

}  // namespace

void RecordFirstAttempt(RetryWindow& window,
                        const RetryAllowance& allowance,
                        Millis now) {
  ++CurrentBucket(window, SliceIndexAt(allowance, now)).m_first_attempts;
}

void RecordInheritedRetry(RetryWindow& window,
                          const RetryAllowance& allowance,
                          std::uint64_t rank,
                          Millis now) {
  ++CurrentBucket(window, SliceIndexAt(allowance, now))
        .m_retries[RankIndex(rank)];
}

bool TryChargeRetry(RetryWindow& window,
                    const RetryAllowance& allowance,
                    std::uint64_t rank,
                    Millis now) {
  const std::int64_t slice = SliceIndexAt(allowance, now);
  const std::size_t index = RankIndex(rank);
  Bucket& current = CurrentBucket(window, slice);
  ++current.m_requested_retries[index];
  const WindowTotals totals = ComputeTotals(window, slice, index);
  const double allowed =
      allowance.m_ratio * totals.m_first_attempts + allowance.m_slack;
  const Millis demand_period =
      now - SliceLength(allowance) * static_cast<double>(slice - kDemandSlices);
  const double reserved =
      totals.m_higher_rank_demand * (allowance.m_window / demand_period);
  if (totals.m_retries + 1 > allowed ||
      totals.m_retries_from_rank + reserved + 1 > allowed) {
    return false;
  }
  ++current.m_retries[index];
  return true;
}

}  // namespace hemlockpoint
