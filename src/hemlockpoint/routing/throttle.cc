#include "hemlockpoint/routing/throttle.h"

#include <algorithm>
#include <cmath>

namespace hemlockpoint {

namespace {

constexpr Millis kHalfLife(2000);
// Calls are sent up to this multiple of the accepted calls. The calls in excess
// of the accepted ones serve as probes.
constexpr double kAcceptsMultiplier = 2;
// Number of recent calls below which nothing is throttled.
constexpr double kMinRequests = 10;
constexpr double kMaxThrottledShare = 0.98;

double DecayFactor(const ThrottleState& state, Millis now) {
  const double age = std::max(0.0, (now - state.m_updated) / kHalfLife);
  return std::exp2(-age);
}

void Decay(ThrottleState& state, Millis now) {
  const double factor = DecayFactor(state, now);
  state.m_requests *= factor;
  state.m_accepts *= factor;
  state.m_updated = now;
}

}  // namespace

void RecordThrottleRequest(ThrottleState& state, Millis now) {
  Decay(state, now);
  ++state.m_requests;
}

void RecordThrottleAccept(ThrottleState& state, Millis now) {
  Decay(state, now);
  ++state.m_accepts;
}

double ThrottledShare(const ThrottleState& state, Millis now) {
  const double factor = DecayFactor(state, now);
  const double requests = state.m_requests * factor;
  const double accepts = state.m_accepts * factor;
  if (requests < kMinRequests) {
    return 0;
  }
  const double share =
      (requests - kAcceptsMultiplier * accepts) / (requests + 1);
  return std::clamp(share, 0.0, kMaxThrottledShare);
}

}  // namespace hemlockpoint
