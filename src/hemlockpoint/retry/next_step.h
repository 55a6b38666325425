#ifndef HEMLOCKPOINT_RETRY_NEXT_STEP_H_
#define HEMLOCKPOINT_RETRY_NEXT_STEP_H_

#include <cstddef>

#include "hemlockpoint/outcome/refusal.h"

namespace hemlockpoint {

/// @brief Maximum number of reroutes of one call.
inline constexpr std::size_t kMaxReroutes = 3;

/// @brief Next step after an attempt without a response.
enum class NextStep {
  kGiveUp,
  /// Try another target without a charge, since the attempt reached none.
  kReroute,
  /// Try another target and charge the attempt to the budget.
  kRetry,
};

/// @brief State of a call after an attempt without a response.
struct AttemptEnd {
  bool m_idempotent = false;
  /// The whole request body is available for another attempt.
  bool m_has_replayable_body = false;
  /// The deadline has not passed.
  bool m_time_left = false;
  std::size_t m_reroutes = 0;
};

/// @brief Decides whether a call is sent to another target. A non-idempotent
/// call that may have run is never sent again.
[[nodiscard]] NextStep DecideNextStep(const Refusal& refusal,
                                      const AttemptEnd& end);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RETRY_NEXT_STEP_H_
