#ifndef HEMLOCKPOINT_DISPATCH_RETRY_AFTER_TABLE_H_
#define HEMLOCKPOINT_DISPATCH_RETRY_AFTER_TABLE_H_

#include <cstddef>
#include <deque>
#include <unordered_map>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Maximum number of refused requests in a node's table. The one that
/// was refused first is evicted first.
inline constexpr std::size_t kMaxRetryAfterEntries = 4096;
/// @brief Share of the Retry-After delay that a caller must have waited. It is
/// below 1 because of timer inaccuracy and differences in network delay.
inline constexpr double kMinWaitedShare = 0.8;
/// @brief Share of the time left until its deadline that a caller is expected
/// to wait at most.
inline constexpr double kMaxWaitShare = 1.0 / 3;
/// @brief How long after the end of the delay a return still counts as on
/// time.
inline constexpr Millis kReturnGracePeriod(1500);

/// @brief Requests that were refused with a Retry-After delay, by fingerprint.
///
/// A request that returns after its delay is served before new requests of the
/// same rank, so that few requests are refused twice in an overload of some
/// seconds. A request that returns early is treated as a new one.
struct RetryAfterTable {
  struct Entry {
    Millis m_earliest_return;
    Millis m_latest_return;
  };
  std::unordered_map<Fingerprint, Entry> m_entries;
  /// Fingerprints in order of insertion, the oldest first.
  std::deque<Fingerprint> m_order;
};

/// @brief Records a refusal, and replaces an earlier one of the same request.
/// @param time_left Time until the caller's deadline.
void RecordRetryAfter(RetryAfterTable& table,
                      Fingerprint request,
                      Millis retry_after,
                      Millis time_left,
                      Millis now);

/// @return Whether the request was refused before and returns within its
/// window. The entry stays in the table.
[[nodiscard]] bool IsOnTimeReturn(RetryAfterTable& table,
                                  Fingerprint request,
                                  Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_RETRY_AFTER_TABLE_H_
