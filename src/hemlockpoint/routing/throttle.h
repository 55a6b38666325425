#ifndef HEMLOCKPOINT_ROUTING_THROTTLE_H_
#define HEMLOCKPOINT_ROUTING_THROTTLE_H_

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Calls that a node has sent to one service lately, and how many of
/// them were accepted; both decay with a half-life of some seconds.
///
/// After Beyer et al., "Site Reliability Engineering" (2016), chapter 21,
/// client-side throttling.
struct ThrottleState {
  double m_requests = 0;
  double m_accepts = 0;
  Millis m_updated;
};

/// @brief Notes a call that was offered to the service or throttled.
void RecordThrottleRequest(ThrottleState& state, Millis now);

/// @brief Notes that the service took a call.
void RecordThrottleAccept(ThrottleState& state, Millis now);

/// @return The share of calls to refuse before sending them, in [0, 1); some
/// always pass as probes.
[[nodiscard]] double ThrottledShare(const ThrottleState& state, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ROUTING_THROTTLE_H_
