#include "hemlockpoint/dispatch/repeat_window.h"

#include <cmath>

namespace hemlockpoint {

namespace {

std::int64_t SliceOf(const RepeatShare& share, Millis now) {
  const double slice =
      share.m_window.value() / static_cast<double>(RepeatWindow::kBuckets);
  return static_cast<std::int64_t>(std::floor(now.value() / slice));
}

RepeatWindow::Bucket& Current(RepeatWindow& window, std::int64_t slice) {
  auto& bucket =
      window
          .m_buckets[static_cast<std::size_t>(slice) % RepeatWindow::kBuckets];
  if (bucket.m_slice != slice) {
    bucket = {};
    bucket.m_slice = slice;
  }
  return bucket;
}

}  // namespace

void CountRequest(RepeatWindow& window, const RepeatShare& share, Millis now) {
  ++Current(window, SliceOf(share, now)).m_requests;
}

void CountInheritedRepeat(RepeatWindow& window,
                          const RepeatShare& share,
                          Millis now) {
  ++Current(window, SliceOf(share, now)).m_repeats;
}

bool TakeRepeat(RepeatWindow& window, const RepeatShare& share, Millis now) {
  const std::int64_t slice = SliceOf(share, now);
  constexpr auto kBuckets = static_cast<std::int64_t>(RepeatWindow::kBuckets);
  double requests = 0;
  double repeats = 0;
  for (const RepeatWindow::Bucket& bucket : window.m_buckets) {
    if (bucket.m_slice > slice - kBuckets && bucket.m_slice <= slice) {
      requests += static_cast<double>(bucket.m_requests);
      repeats += static_cast<double>(bucket.m_repeats);
    }
  }
  if (repeats + 1 > share.m_ratio * requests + share.m_slack) {
    return false;
  }
  ++Current(window, slice).m_repeats;
  return true;
}

}  // namespace hemlockpoint
