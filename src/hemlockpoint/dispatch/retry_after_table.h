#ifndef HEMLOCKPOINT_DISPATCH_RETRY_AFTER_TABLE_H_
#define HEMLOCKPOINT_DISPATCH_RETRY_AFTER_TABLE_H_

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Refused requests that are remembered at most by one node; the
/// oldest is forgotten first.
inline constexpr std::size_t kMaxRetryAfterEntries = 4096;
/// @brief Part of a stated pause after which a caller counts as having waited:
/// timers and ways differ a little.
inline constexpr double kMinWaitedShare = 0.8;
/// @brief Part of their remaining time that callers wait at most.
inline constexpr double kMaxWaitShare = 1.0 / 3;
/// @brief Time after the stated moment in which a return is expected.
inline constexpr Millis kReturnGracePeriod(1500);

/// @brief Requests that were refused with a time to come back, by fingerprint.
/// In an overload of some seconds, those who come back as told are served
/// before newcomers of their kind, so that few are refused twice; those who
/// come back at once are newcomers.
struct RetryAfterTable {
  struct Entry {
    Millis m_from;
    Millis m_latest_return;
  };
  std::unordered_map<Fingerprint, Entry> m_entries;
  /// In the order of their refusals.
  std::deque<Fingerprint> m_order;
};

/// @brief Notes a refusal that has told its caller when to come back.
/// @param time_left How long the caller is willing to wait in all.
void RecordRetryAfter(RetryAfterTable& appointments,
                      Fingerprint request,
                      Millis retry_after,
                      Millis time_left,
                      Millis now);

/// @brief Takes back the appointment of a request that arrives.
/// @return Whether it comes back as it was told.
[[nodiscard]] bool IsOnTimeReturn(RetryAfterTable& appointments,
                                  Fingerprint request,
                                  Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_RETRY_AFTER_TABLE_H_
