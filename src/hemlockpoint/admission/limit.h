#ifndef HEMLOCKPOINT_ADMISSION_LIMIT_H_
#define HEMLOCKPOINT_ADMISSION_LIMIT_H_

#include <cstdint>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Length of the windows over which a limit judges its target.
inline constexpr Millis kLimitWindow(100);

/// @brief Concurrency limit of one target.
///
/// A persistent slowdown starts a trial at a lower limit. The trial stands if
/// the target's throughput holds, since the concurrency taken away was then
/// only waiting inside the target; otherwise the former limit returns. See
/// docs/design/concurrency-limit.md.
struct LimitState {
  double m_slots = 0;
  double m_limit = 0;
  /// When the target became usable; its limit ramps up from there.
  Millis m_ramp_start;

  Millis m_window_start;
  std::uint64_t m_window_completions = 0;
  double m_window_slowness = 0;

  int m_slow_windows = 0;
  /// Completions per window, averaged since the slowdown or trial began.
  double m_completion_rate = 0;
  double m_completion_rate_windows = 0;

  bool m_in_trial = false;
  int m_trial_windows = 0;
  double m_limit_before_trial = 0;
  double m_completion_rate_before_trial = 0;
  Millis m_next_trial;
};

/// @brief Sets the slots that the target announced.
/// @param restart The target or its node has just started, so that the limit
/// starts low and ramps up.
void SetSlots(LimitState& state, double slots, bool restart, Millis now);

/// @brief Counts a finished call.
/// @param slowness Recent over normal service time of the call's kind.
void RecordCompletion(LimitState& state, double slowness);

/// @brief Judges the window when it is over; call at least once per window.
/// @param stall Age over normal service time of the calls still in flight;
/// counts when no call finished in the window.
void UpdateLimit(LimitState& state, double stall, Millis now);

/// @return Calls that the target may hold now; at least 1 with any slots.
[[nodiscard]] std::uint64_t CurrentLimit(const LimitState& state, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ADMISSION_LIMIT_H_
