#ifndef HEMLOCKPOINT_QUARANTINE_CRASH_COUNTS_H_
#define HEMLOCKPOINT_QUARANTINE_CRASH_COUNTS_H_

#include <cstdint>
#include <unordered_map>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Crashes with a request in flight after which it is refused.
inline constexpr std::uint64_t kCrashesUntilQuarantine = 3;
/// @brief Crashes after which all nodes are told, so that any of them can
/// clear the request by an answer.
inline constexpr std::uint64_t kCrashesUntilBroadcast = 2;

/// @brief A caller of a request that crashes targets has no reason to hurry.
inline constexpr Millis kQuarantineRetryAfter(60'000);

struct CrashCount {
  std::uint64_t m_crashes = 0;
  Millis m_expires;
};

/// @brief How many targets crashed with a request in flight, by the request's
/// fingerprint. Requests that were in flight beside the culprit are cleared by
/// the first answer to any of their kind; the culprit never has one.
struct CrashCounts {
  std::unordered_map<Fingerprint, CrashCount> m_entries;
};

/// @brief Counts further crashes.
void AddCrashes(CrashCounts& counts,
                Fingerprint request,
                std::uint64_t crashes,
                Millis now);

/// @brief Takes over a sum that another process has counted.
void MergeCrashTotal(CrashCounts& counts,
                     Fingerprint request,
                     std::uint64_t crashes,
                     Millis now);

/// @brief Clears a request that a target has answered.
/// @return Crashes that were held against it.
std::uint64_t ClearCrashes(CrashCounts& counts, Fingerprint request);

/// @return Crashes with the request in flight of late.
[[nodiscard]] std::uint64_t CrashesOf(const CrashCounts& counts,
                                      Fingerprint request,
                                      Millis now);

/// @return Whether the request is refused.
[[nodiscard]] bool IsQuarantined(const CrashCounts& counts,
                                 Fingerprint request,
                                 Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_QUARANTINE_CRASH_COUNTS_H_
