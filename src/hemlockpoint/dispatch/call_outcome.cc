#include "hemlockpoint/dispatch/call_outcome.h"

namespace hemlockpoint {

namespace {

// A call that used at least this share of the time it had left counts as timed
// out.
constexpr double kTimeoutShare = 0.9;
// A timeout indicates overload of the services that the target calls only if
// the call spent at most this share of its total time in the queue.
constexpr double kShortWaitShare = 0.2;

}  // namespace

bool HasTimedOut(const CallEnd& end) {
  return end.m_ended - end.m_started >=
         (end.m_deadline - end.m_started) * kTimeoutShare;
}

std::optional<bool> IsDownstreamFailure(const CallEnd& end) {
  const bool timed_out = HasTimedOut(end);
  if (!end.m_is_dispatched || (end.m_is_cancelled && !timed_out)) {
    return std::nullopt;
  }
  if (timed_out) {
    const bool had_short_wait =
        end.m_started - end.m_arrival <=
        (end.m_deadline - end.m_arrival) * kShortWaitShare;
    return had_short_wait ? std::optional<bool>(true) : std::nullopt;
  }
  // A failure without a failed nested call is the target's own, and running
  // fewer calls would not help it.
  return !end.m_is_success && end.m_has_failed_nested_call;
}

}  // namespace hemlockpoint
