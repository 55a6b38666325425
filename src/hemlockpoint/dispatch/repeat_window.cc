#include "hemlockpoint/dispatch/repeat_window.h"

#include <algorithm>
#include <cmath>

namespace hemlockpoint {

namespace {

using Bucket = RepeatWindow::Bucket;

// Full slices over which the demand of a rank is measured, beside the present
// one: a second of the usual window of ten.
constexpr std::int64_t kDemandSlices = 2;

Millis SliceLength(const RepeatShare& share) {
  return share.m_window * (1.0 / static_cast<double>(RepeatWindow::kBuckets));
}

std::int64_t SliceOf(const RepeatShare& share, Millis now) {
  return static_cast<std::int64_t>(std::floor(now / SliceLength(share)));
}

Bucket& Current(RepeatWindow& window, std::int64_t slice) {
  Bucket& bucket =
      window
          .m_buckets[static_cast<std::size_t>(slice) % window.m_buckets.size()];
  if (bucket.m_slice != slice) {
    bucket = {};
    bucket.m_slice = slice;
  }
  return bucket;
}

std::size_t IndexOf(std::uint64_t rank) {
  return static_cast<std::size_t>(
      std::min<std::uint64_t>(rank, RepeatWindow::kRanks - 1));
}

// What is in the window, seen from one rank.
struct Sums {
  double m_requests = 0;
  double m_repeats = 0;
  // Repeats of this rank and of less important ones.
  double m_own_repeats = 0;
  // Repeats that more important ranks have asked for of late.
  double m_asked_ahead = 0;
};

Sums SumUp(const RepeatWindow& window, std::int64_t slice, std::size_t rank) {
  constexpr auto kBuckets = static_cast<std::int64_t>(RepeatWindow::kBuckets);
  Sums sums;
  for (const Bucket& bucket : window.m_buckets) {
    const std::int64_t age = slice - bucket.m_slice;
    if (bucket.m_slice < 0 || age < 0 || age > kBuckets) {
      continue;
    }
    // The oldest slice lies in the window only in part: what it holds is
    // charged, and not credited.
    sums.m_requests +=
        age < kBuckets ? static_cast<double>(bucket.m_requests) : 0;
    for (std::size_t i = 0; i < RepeatWindow::kRanks; ++i) {
      const auto repeats = static_cast<double>(bucket.m_repeats[i]);
      sums.m_repeats += repeats;
      sums.m_own_repeats += i >= rank ? repeats : 0;
      const bool ahead = i < rank && age <= kDemandSlices;
      sums.m_asked_ahead += ahead ? static_cast<double>(bucket.m_asked[i]) : 0;
    }
  }
  return sums;
}

}  // namespace

void CountRequest(RepeatWindow& window, const RepeatShare& share, Millis now) {
  ++Current(window, SliceOf(share, now)).m_requests;
}

void CountInheritedRepeat(RepeatWindow& window,
                          const RepeatShare& share,
                          std::uint64_t rank,
                          Millis now) {
  ++Current(window, SliceOf(share, now)).m_repeats[IndexOf(rank)];
}

bool TakeRepeat(RepeatWindow& window,
                const RepeatShare& share,
                std::uint64_t rank,
                Millis now) {
  const std::int64_t slice = SliceOf(share, now);
  const std::size_t index = IndexOf(rank);
  Bucket& current = Current(window, slice);
  ++current.m_asked[index];
  const Sums sums = SumUp(window, slice, index);
  const double allowed = share.m_ratio * sums.m_requests + share.m_slack;
  const Millis measured =
      now - SliceLength(share) * static_cast<double>(slice - kDemandSlices);
  const double kept = sums.m_asked_ahead * (share.m_window / measured);
  if (sums.m_repeats + 1 > allowed || sums.m_own_repeats + kept + 1 > allowed) {
    return false;
  }
  ++current.m_repeats[index];
  return true;
}

}  // namespace hemlockpoint
