#ifndef HEMLOCKPOINT_QUARANTINE_CRASH_COUNTS_H_
#define HEMLOCKPOINT_QUARANTINE_CRASH_COUNTS_H_

#include <cstdint>
#include <unordered_map>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Number of crashes with a request in flight from which the request is
/// refused.
inline constexpr std::uint64_t kCrashesUntilQuarantine = 3;
/// @brief Number of crashes from which the count is sent to all nodes, so that
/// a response at any of them clears the request.
inline constexpr std::uint64_t kCrashesUntilBroadcast = 2;

/// @brief Retry-After delay of a request that is refused because of crashes. It
/// is long, since the request would most likely crash a target again.
inline constexpr Millis kQuarantineRetryAfter(60'000);

/// @brief Crashes with one request in flight.
struct CrashCount {
  std::uint64_t m_crashes = 0;
  /// Time at which the count ends; each further crash extends it.
  Millis m_expires;
};

/// @brief Crashes of targets by the fingerprints of the requests in flight.
///
/// Every request in flight is counted, not only the one that caused the crash.
/// The other ones are cleared by the first response to an equal request; the
/// causing request never gets a response.
struct CrashCounts {
  std::unordered_map<Fingerprint, CrashCount> m_entries;
};

/// @brief Adds crashes to the count of a request.
void AddCrashes(CrashCounts& counts,
                Fingerprint request,
                std::uint64_t crashes,
                Millis now);

/// @brief Raises the count of a request to the total of another process. A
/// lower total doesn't change the count.
void MergeCrashTotal(CrashCounts& counts,
                     Fingerprint request,
                     std::uint64_t crashes,
                     Millis now);

/// @brief Removes the count of a request that got a response from a target.
/// @return The removed count.
std::uint64_t ClearCrashes(CrashCounts& counts, Fingerprint request);

/// @return Number of crashes with the request in flight; 0 once expired.
[[nodiscard]] std::uint64_t CrashesOf(const CrashCounts& counts,
                                      Fingerprint request,
                                      Millis now);

/// @return Whether the count has reached kCrashesUntilQuarantine.
[[nodiscard]] bool IsQuarantined(const CrashCounts& counts,
                                 Fingerprint request,
                                 Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_QUARANTINE_CRASH_COUNTS_H_
