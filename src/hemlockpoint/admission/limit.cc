#include "hemlockpoint/admission/limit.h"

#include <algorithm>
#include <cmath>

namespace hemlockpoint {

namespace {

// Slowness above which a window counts as slow, and below which the limit is
// raised.
constexpr double kSlowAbove = 2.0;
constexpr double kNormalBelow = 1.5;
// Consecutive slow windows after which a trial starts; shorter slowdowns are
// ignored.
constexpr int kSlowWindowsBeforeTrial = 3;
constexpr int kTrialWindows = 3;
constexpr double kTrialFactor = 0.7;
// Throughput, relative to that before the trial, from which the lower limit is
// kept. It lies between the ratio expected when the removed calls had only
// waited inside the target (1) and when they had been processed (kTrialFactor).
constexpr double kMinTrialThroughputShare = 0.85;
constexpr Millis kFailedTrialPause(5000);
// Shares of the slots: lower bound of the limit, step by which it is raised,
// and initial limit of a ramp-up.
constexpr double kMinLimitShare = 0.1;
constexpr double kRaiseStepShare = 0.05;
constexpr double kRampStartShare = 0.2;
constexpr Millis kRampDuration(5000);

void RaiseLimit(LimitState& state) {
  state.m_limit += std::max(1.0, state.m_slots * kRaiseStepShare);
  state.m_limit = std::min(state.m_limit, state.m_slots);
}

void StartTrial(LimitState& state) {
  const double floor = std::max(1.0, state.m_slots * kMinLimitShare);
  state.m_limit_before_trial = state.m_limit;
  state.m_completion_rate_before_trial = state.m_completion_rate;
  state.m_limit = std::max(floor, state.m_limit * kTrialFactor);
  state.m_in_trial = true;
  state.m_trial_windows = 0;
  state.m_completion_rate_windows = 0;
}

void EvaluateTrial(LimitState& state, Millis now) {
  if (++state.m_trial_windows < kTrialWindows) {
    return;
  }
  state.m_in_trial = false;
  if (state.m_completion_rate <
      state.m_completion_rate_before_trial * kMinTrialThroughputShare) {
    state.m_limit = state.m_limit_before_trial;
    state.m_next_trial = now + kFailedTrialPause;
  }
}

// Updates the mean over the windows since the last reset.
void UpdateCompletionRate(LimitState& state, double completions) {
  ++state.m_completion_rate_windows;
  state.m_completion_rate +=
      (completions - state.m_completion_rate) / state.m_completion_rate_windows;
}

void EvaluateWindow(LimitState& state,
                    double slowness,
                    double completions,
                    Millis now) {
  const bool is_slow = slowness > kSlowAbove;
  state.m_slow_windows = is_slow ? state.m_slow_windows + 1 : 0;
  if (state.m_slow_windows == 1 && !state.m_in_trial) {
    // A trial is compared with the throughput during the slowdown, not before.
    state.m_completion_rate_windows = 0;
  }
  UpdateCompletionRate(state, completions);
  if (state.m_in_trial) {
    EvaluateTrial(state, now);
  }
  if (state.m_in_trial) {
    return;
  }
  if (state.m_slow_windows >= kSlowWindowsBeforeTrial &&
      now >= state.m_next_trial) {
    StartTrial(state);
  } else if (slowness < kNormalBelow) {
    RaiseLimit(state);
  }
}

}  // namespace

void SetSlots(LimitState& state, double slots, bool is_restart, Millis now) {
  if (is_restart || state.m_slots == 0) {
    state = LimitState();
    state.m_limit = slots;
    state.m_ramp_start = now;
    state.m_window_start = now;
    state.m_next_trial = now;
  } else if (slots > state.m_slots && state.m_limit >= state.m_slots) {
    state.m_limit = slots;
  }
  state.m_slots = slots;
  state.m_limit = std::min(state.m_limit, slots);
}

void RecordCompletion(LimitState& state, double slowness) {
  ++state.m_window_completions;
  state.m_window_slowness += slowness;
}

void UpdateLimit(LimitState& state, double in_flight_slowness, Millis now) {
  if (now - state.m_window_start < kLimitWindow) {
    return;
  }
  const auto completions = static_cast<double>(state.m_window_completions);
  const double slowness = completions > 0
                              ? state.m_window_slowness / completions
                              : in_flight_slowness;
  state.m_window_completions = 0;
  state.m_window_slowness = 0;
  state.m_window_start = now;
  EvaluateWindow(state, slowness, completions, now);
}

std::uint64_t CurrentLimit(const LimitState& state, Millis now) {
  if (state.m_slots <= 0) {
    return 0;
  }
  const double progress =
      std::clamp((now - state.m_ramp_start) / kRampDuration, 0.0, 1.0);
  const double ramp =
      state.m_slots * (kRampStartShare + (1 - kRampStartShare) * progress);
  return static_cast<std::uint64_t>(
      std::max(1.0, std::floor(std::min(state.m_limit, ramp))));
}

}  // namespace hemlockpoint
