#include "hemlockpoint/admission/shed.h"

#include <algorithm>

#include "hemlockpoint/base/digest.h"

namespace hemlockpoint {

namespace {

constexpr double kOfferedDecay = 0.7;
// The estimate of what the target can do rises quickly, so that the start of
// a surge isn't judged by the quiet time before, and falls slowly.
constexpr double kThroughputRise = 0.7;
constexpr double kThroughputFall = 0.1;
// Under overload slightly less is let in than gets finished, so that the
// queue drains.
constexpr double kOverloadAdmitShare = 0.97;
// Each further delay target of waiting takes this much off, up to a bound.
constexpr double kCutPerQueueDelay = 0.05;
constexpr double kMaxQueueDelayCut = 0.3;
constexpr double kAdmitGrowthPerWindow = 1.1;
// More is let in while calls wait for less than this share of the target.
constexpr double kAdmitGrowthDelayShare = 0.75;
// A threshold that lets in all that is offered, and this much more, is not
// needed any longer.
constexpr double kShedEndMargin = 1.2;

std::size_t BucketOf(double rank) {
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

// The rank below which `admit` calls per window are offered.
double ThresholdFor(const ShedState& state, double admit) {
  double left = admit * state.m_offered_weight;
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

void MeasureThroughput(ShedState& state, bool busy) {
  const auto completions = static_cast<double>(state.m_window_completions);
  state.m_window_completions = 0;
  if (completions > state.m_throughput) {
    state.m_throughput += (completions - state.m_throughput) * kThroughputRise;
  } else if (busy) {
    state.m_throughput += (completions - state.m_throughput) * kThroughputFall;
  }
}

// Calls per window to let in while calls wait for too long.
double OverloadAdmitPerWindow(const ShedState& state, Millis wait) {
  const double targets = wait / kMaxQueueDelay - 1;
  const double off = std::min(kMaxQueueDelayCut, kCutPerQueueDelay * targets);
  return std::max(1.0, state.m_throughput * (kOverloadAdmitShare - off));
}

}  // namespace

double RankOf(std::size_t priority_class, const RequestId& root) {
  return static_cast<double>(priority_class) + RootFraction(root);
}

bool IsShed(const ShedState& state, double rank) {
  return rank > state.m_threshold;
}

void RecordOffered(ShedState& state, double rank) {
  ++state.m_window_offered[BucketOf(rank)];
}

void RecordServed(ShedState& state) {
  ++state.m_window_completions;
}

void RecordWait(ShedState& state, Millis wait) {
  state.m_window_wait = Max(state.m_window_wait, wait);
}

void UpdateShedThreshold(ShedState& state,
                         Millis oldest_wait,
                         bool busy,
                         Millis now) {
  if (now - state.m_window_start < kShedWindow) {
    return;
  }
  state.m_window_start = now;
  AccumulateOffered(state);
  MeasureThroughput(state, busy);
  const Millis wait = Max(state.m_window_wait, oldest_wait);
  state.m_window_wait = Millis(0);

  const bool shedding = state.m_admit_per_window > 0;
  if (wait > kMaxQueueDelay) {
    state.m_admit_per_window = OverloadAdmitPerWindow(state, wait);
  } else if (shedding && wait < kMaxQueueDelay * kAdmitGrowthDelayShare) {
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
