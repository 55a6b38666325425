#ifndef HEMLOCKPOINT_QUARANTINE_QUARANTINE_H_
#define HEMLOCKPOINT_QUARANTINE_QUARANTINE_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Maximum number of requests in a table. The one that expires first is
/// evicted first.
inline constexpr std::size_t kMaxTrackedRequests = 1024;
/// @brief Lifetime of a suspicion and of a quarantine.
inline constexpr Millis kSuspicionDuration(60'000);
inline constexpr Millis kQuarantineDuration(600'000);

/// @brief State of a request that was in flight when a target crashed.
enum class SuspectState : unsigned char {
  /// In flight at one crash. It runs only while no other suspect runs on the
  /// target.
  kSuspect,
  /// In flight at two crashes, the second time as a suspect. It is refused.
  kQuarantined,
};

struct SuspectEntry {
  SuspectState m_state = SuspectState::kSuspect;
  Millis m_expires;
};

/// @brief Suspected and quarantined requests by fingerprint.
struct QuarantineTable {
  std::unordered_map<Fingerprint, SuspectEntry> m_entries;
};

/// @brief A call that was in flight when the target crashed.
struct InFlightCall {
  Fingerprint m_fingerprint;
  /// The call was dispatched as a suspect of an earlier crash.
  bool m_was_suspect = false;
};

/// @brief Records the crash of a target.
///
/// A suspect in flight is quarantined, and the other calls in flight don't
/// become suspects, since suspects run one at a time on a target. Without a
/// suspect in flight, every call in flight becomes a suspect.
/// @return Fingerprints of the changed entries.
std::vector<Fingerprint> RecordCrash(QuarantineTable& table,
                                     const std::vector<InFlightCall>& in_flight,
                                     Millis now);

/// @brief Removes a suspect that got a response from a target. A quarantine is
/// not removed.
/// @return Whether an entry was removed.
bool ClearSuspect(QuarantineTable& table, Fingerprint request);

/// @return The state of the request, or nothing if it has no valid entry.
[[nodiscard]] std::optional<SuspectState>
SuspectStateOf(const QuarantineTable& table, Fingerprint request, Millis now);

/// @brief Stores an entry received from another node. A suspicion never
/// replaces a quarantine.
void MergeSuspectEntry(QuarantineTable& table,
                       Fingerprint request,
                       const SuspectEntry& entry);

/// @brief Ends the suspicion or quarantine of a request.
/// @return Whether there was an entry.
bool RemoveSuspectEntry(QuarantineTable& table, Fingerprint request);

/// @brief Removes the expired entries.
void RemoveExpiredEntries(QuarantineTable& table, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_QUARANTINE_QUARANTINE_H_
