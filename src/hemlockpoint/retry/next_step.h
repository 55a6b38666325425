#ifndef HEMLOCKPOINT_RETRY_NEXT_STEP_H_
#define HEMLOCKPOINT_RETRY_NEXT_STEP_H_

#include <cstddef>

#include "hemlockpoint/outcome/refusal.h"

namespace hemlockpoint {

/// @brief Free attempts at other targets for one call at most.
inline constexpr std::size_t kMaxReroutes = 3;

/// @brief What to do after an attempt without an answer.
enum class NextStep {
  kGiveUp,
  /// Try another target at no charge: the first one only was not there.
  kReroute,
  /// Try another target and charge the repeat to the budget.
  kRetry,
};

/// @brief What is known when an attempt has ended without an answer.
struct AttemptEnd {
  bool m_idempotent = false;
  /// The whole body is at hand to be sent again.
  bool m_has_replayable_body = false;
  bool m_time_left = false;
  std::size_t m_reroutes = 0;
};

/// @brief Decides whether a call goes to another target. Non-idempotent work
/// that may have run is never sent again.
[[nodiscard]] NextStep DecideNextStep(const Refusal& refusal,
                                      const AttemptEnd& end);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RETRY_NEXT_STEP_H_
