#ifndef HEMLOCKPOINT_ROUTING_THROTTLE_H_
#define HEMLOCKPOINT_ROUTING_THROTTLE_H_

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Recent calls of one node to one service, and how many of them the
/// service accepted. Both counts decay exponentially.
///
/// Implements client-side throttling as in Beyer et al., "Site Reliability
/// Engineering" (2016), chapter 21.
struct ThrottleState {
  double m_requests = 0;
  double m_accepts = 0;
  Millis m_updated;
};

/// @brief Counts a call that was sent to the service or throttled.
void RecordThrottleRequest(ThrottleState& state, Millis now);

/// @brief Counts a call that the service accepted.
void RecordThrottleAccept(ThrottleState& state, Millis now);

/// @return The share in [0, 1) of calls to refuse before they are sent. Some
/// calls are always sent as probes.
[[nodiscard]] double ThrottledShare(const ThrottleState& state, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ROUTING_THROTTLE_H_
