#include "hemlockpoint/dispatch/retry_window.h"

#include <algorithm>
#include <cmath>

namespace hemlockpoint {

namespace {

using Bucket = RetryWindow::Bucket;

// Full slices over which the demand of a rank is measured, beside the present
// one: a second of the usual window of ten.
constexpr std::int64_t kDemandSlices = 2;

Millis SliceLength(const RetryAllowance& share) {
  return share.m_window * (1.0 / static_cast<double>(RetryWindow::kBuckets));
}

std::int64_t SliceIndexAt(const RetryAllowance& share, Millis now) {
  return static_cast<std::int64_t>(std::floor(now / SliceLength(share)));
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

// What is in the window, seen from one rank.
struct WindowTotals {
  double m_requests = 0;
  double m_repeats = 0;
  // Repeats of this rank and of less important ones.
  double m_retries_from_rank = 0;
  // Repeats that more important ranks have asked for of late.
  double m_higher_rank_demand = 0;
};

WindowTotals ComputeTotals(const RetryWindow& window,
                           std::int64_t slice,
                           std::size_t rank) {
  constexpr auto kBuckets = static_cast<std::int64_t>(RetryWindow::kBuckets);
  WindowTotals sums;
  for (const Bucket& bucket : window.m_buckets) {
    const std::int64_t age = slice - bucket.m_slice_index;
    if (bucket.m_slice_index < 0 || age < 0 || age > kBuckets) {
      continue;
    }
    // The oldest slice lies in the window only in part: what it holds is
    // charged, and not credited.
    sums.m_requests +=
        age < kBuckets ? static_cast<double>(bucket.m_requests) : 0;
    for (std::size_t i = 0; i < RetryWindow::kRanks; ++i) {
      const auto repeats = static_cast<double>(bucket.m_repeats[i]);
      sums.m_repeats += repeats;
      sums.m_retries_from_rank += i >= rank ? repeats : 0;
      const bool ahead = i < rank && age <= kDemandSlices;
      sums.m_higher_rank_demand +=
          ahead ? static_cast<double>(bucket.m_asked[i]) : 0;
    }
  }
  return sums;
}

}  // namespace

void RecordFirstAttempt(RetryWindow& window,
                        const RetryAllowance& share,
                        Millis now) {
  ++CurrentBucket(window, SliceIndexAt(share, now)).m_requests;
}

void RecordInheritedRetry(RetryWindow& window,
                          const RetryAllowance& share,
                          std::uint64_t rank,
                          Millis now) {
  ++CurrentBucket(window, SliceIndexAt(share, now)).m_repeats[RankIndex(rank)];
}

bool TryChargeRetry(RetryWindow& window,
                    const RetryAllowance& share,
                    std::uint64_t rank,
                    Millis now) {
  const std::int64_t slice = SliceIndexAt(share, now);
  const std::size_t index = RankIndex(rank);
  Bucket& current = CurrentBucket(window, slice);
  ++current.m_asked[index];
  const WindowTotals sums = ComputeTotals(window, slice, index);
  const double allowed = share.m_ratio * sums.m_requests + share.m_slack;
  const Millis measured =
      now - SliceLength(share) * static_cast<double>(slice - kDemandSlices);
  const double kept = sums.m_higher_rank_demand * (share.m_window / measured);
  if (sums.m_repeats + 1 > allowed ||
      sums.m_retries_from_rank + kept + 1 > allowed) {
    return false;
  }
  ++current.m_repeats[index];
  return true;
}

}  // namespace hemlockpoint
