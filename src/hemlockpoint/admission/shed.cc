#include "hemlockpoint/admission/shed.h"

#include <algorithm>

#include "hemlockpoint/base/digest.h"

namespace hemlockpoint {

namespace {

// Weight factor of the offered calls per elapsed window.
constexpr double kOfferedDecay = 0.7;
// Weights of a new sample in the throughput estimate. The estimate rises
// quickly, so that a surge isn't limited to the low throughput before it, and
// falls slowly.
constexpr double kThroughputRise = 0.7;
constexpr double kThroughputFall = 0.1;
// Share of the throughput that is admitted under overload. It is below 1, so
// that the queue drains.
constexpr double kOverloadAdmitShare = 0.97;
// Reduction of that share for each further kMaxQueueDelay of wait, and the
// upper bound of the reduction.
constexpr double kCutPerQueueDelay = 0.05;
constexpr double kMaxQueueDelayCut = 0.3;
constexpr double kAdmitGrowthPerWindow = 1.1;
// The admitted calls grow while the wait is below this share of kMaxQueueDelay.
constexpr double kAdmitGrowthDelayShare = 0.75;
// Shedding ends when the calls to admit exceed the offered calls by this
// factor.
constexpr double kShedEndMargin = 1.2;

std::size_t RankBucketOf(double rank) {
  const double bucket = rank * static_cast<double>(kRankBucketsPerClass);
  return std::min(kRankBuckets - 1,
                  static_cast<std::size_t>(std::max(0.0, bucket)));
}

void AccumulateOffered(ShedState& state) {
  state.m_offered_weight = state.m_offered_weight * kOfferedDecay + 1;
  for (std::size_t i = 0; i < kRankBuckets; ++i) {
    state.m_offered[i] = state.m_offered[i] * kOfferedDecay +
                         static_cast<double>(state.m_window_offered[i]);
  }
  state.m_window_offered.fill(0);
}

double MeanOfferedPerWindow(const ShedState& state) {
  double sum = 0;
  for (const double offered : state.m_offered) {
    sum += offered;
  }
  return sum / state.m_offered_weight;
}

// Rank below which `admit_per_window` calls per window are offered.
double ThresholdFor(const ShedState& state, double admit_per_window) {
  double left = admit_per_window * state.m_offered_weight;
  for (std::size_t i = 0; i < kRankBuckets; ++i) {
    const double offered = state.m_offered[i];
    if (offered > left) {
      const double part = static_cast<double>(i) + left / offered;
      return part / static_cast<double>(kRankBucketsPerClass);
    }
    left -= offered;
  }
  return kNoShedding;
}

void MeasureThroughput(ShedState& state, bool is_at_limit) {
  const auto completions = static_cast<double>(state.m_window_completions);
  state.m_window_completions = 0;
  if (completions > state.m_throughput) {
    state.m_throughput += (completions - state.m_throughput) * kThroughputRise;
  } else if (is_at_limit) {
    state.m_throughput += (completions - state.m_throughput) * kThroughputFall;
  }
}

// Calls per window to admit while the wait exceeds kMaxQueueDelay.
double OverloadAdmitPerWindow(const ShedState& state, Millis wait) {
  const double excess_delays = wait / kMaxQueueDelay - 1;
  const double cut =
      std::min(kMaxQueueDelayCut, kCutPerQueueDelay * excess_delays);
  return std::max(1.0, state.m_throughput * (kOverloadAdmitShare - cut));
}

}  // namespace

double RankOf(std::size_t priority_class, const RequestId& root) {
  return static_cast<double>(priority_class) + HashToUnitInterval(root);
}

bool IsShed(const ShedState& state, double rank) {
  return rank > state.m_threshold;
}

void RecordOffered(ShedState& state, double rank) {
  ++state.m_window_offered[RankBucketOf(rank)];
}

void RecordServed(ShedState& state) {
  ++state.m_window_completions;
}

void RecordWait(ShedState& state, Millis wait) {
  state.m_window_wait = Max(state.m_window_wait, wait);
}

void UpdateShedThreshold(ShedState& state,
                         Millis longest_wait,
                         bool is_at_limit,
                         Millis now) {
  if (now - state.m_window_start < kShedWindow) {
    return;
  }
  state.m_window_start = now;
  AccumulateOffered(state);
  MeasureThroughput(state, is_at_limit);
  const Millis wait = Max(state.m_window_wait, longest_wait);
  state.m_window_wait = Millis(0);

  const bool is_shedding = state.m_admit_per_window > 0;
  if (wait > kMaxQueueDelay) {
    state.m_admit_per_window = OverloadAdmitPerWindow(state, wait);
  } else if (is_shedding && wait < kMaxQueueDelay * kAdmitGrowthDelayShare) {
    state.m_admit_per_window =
        state.m_admit_per_window * kAdmitGrowthPerWindow + 1;
  }
  if (state.m_admit_per_window > MeanOfferedPerWindow(state) * kShedEndMargin) {
    state.m_admit_per_window = 0;
  }
  state.m_threshold = state.m_admit_per_window > 0
                          ? ThresholdFor(state, state.m_admit_per_window)
                          : kNoShedding;
}

}  // namespace hemlockpoint
