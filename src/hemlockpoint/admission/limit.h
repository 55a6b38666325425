#ifndef HEMLOCKPOINT_ADMISSION_LIMIT_H_
#define HEMLOCKPOINT_ADMISSION_LIMIT_H_

#include <cstdint>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Length of the windows over which a target is measured.
inline constexpr Millis kLimitWindow(100);

/// @brief Adaptive concurrency limit of one target.
///
/// A lasting slowdown starts a trial at a lower limit. If the throughput of the
/// target holds, the lower limit is kept, since the additional calls had only
/// waited inside the target. Otherwise the previous limit is restored. See
/// docs/design/concurrency-limit.md.
struct LimitState {
  double m_slots = 0;
  double m_limit = 0;
  /// Start of the ramp-up of the limit after a start of the target or its node.
  Millis m_ramp_start;

  Millis m_window_start;
  std::uint64_t m_window_completions = 0;
  /// Sum over the completions of the window.
  double m_window_slowness = 0;

  /// Consecutive windows with a slowdown.
  int m_slow_windows = 0;
  /// Mean completions per window since the start of the slowdown or trial.
  double m_completion_rate = 0;
  /// Number of windows in m_completion_rate.
  double m_completion_rate_windows = 0;

  bool m_in_trial = false;
  int m_trial_windows = 0;
  double m_limit_before_trial = 0;
  double m_completion_rate_before_trial = 0;
  /// Earliest start of the next trial.
  Millis m_next_trial;
};

/// @brief Sets the number of slots that the target announced.
/// @param is_restart The target or its node has just started; the limit starts
/// low and ramps up.
void SetSlots(LimitState& state, double slots, bool is_restart, Millis now);

/// @brief Counts a completed call.
/// @param slowness Recent divided by normal service time of the call's kind.
void RecordCompletion(LimitState& state, double slowness);

/// @brief Evaluates the current window if it has ended. To be called at least
/// once per window.
/// @param in_flight_slowness Mean age of the calls in flight, divided by their
/// normal service time. Used if no call completed in the window.
void UpdateLimit(LimitState& state, double in_flight_slowness, Millis now);

/// @return Number of calls that the target may run now: at least 1 if it has
/// slots, otherwise 0.
[[nodiscard]] std::uint64_t CurrentLimit(const LimitState& state, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ADMISSION_LIMIT_H_
