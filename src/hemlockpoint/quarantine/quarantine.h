#ifndef HEMLOCKPOINT_QUARANTINE_QUARANTINE_H_
#define HEMLOCKPOINT_QUARANTINE_QUARANTINE_H_

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Requests tracked at most; the one that expires first gives way.
inline constexpr std::size_t kMaxTrackedRequests = 1024;
/// @brief Time after which a suspicion and a quarantine end.
inline constexpr Millis kSuspicionDuration(60'000);
inline constexpr Millis kQuarantineDuration(600'000);

enum class SuspectState : unsigned char {
  /// In flight at one crash: runs only when no other suspect does.
  kSuspect,
  /// In flight at two crashes: refused.
  kQuarantined,
};

struct SuspectEntry {
  SuspectState m_state = SuspectState::kSuspect;
  Millis m_expires;
};

/// @brief Requests that were in flight when a target crashed.
struct QuarantineTable {
  std::unordered_map<Fingerprint, SuspectEntry> m_entries;
};

/// @brief A request in flight at the moment of a crash.
struct InFlightCall {
  Fingerprint m_fingerprint;
  /// It was dispatched as a suspect of an earlier crash.
  bool m_was_suspect = false;
};

/// @brief Judges a crash. Suspects run one at a time on a target, so one that
/// was in flight is quarantined and the calls beside it are not blamed; with
/// none, every call in flight becomes a suspect.
/// @return The entries that changed.
std::vector<Fingerprint> RecordCrash(QuarantineTable& table,
                                     const std::vector<InFlightCall>& in_flight,
                                     Millis now);

/// @brief Clears a suspect that a target has answered.
/// @return Whether an entry was removed.
bool ClearSuspect(QuarantineTable& table, Fingerprint request);

/// @return The request's state, or nothing when it is not suspected.
[[nodiscard]] std::optional<SuspectState>
SuspectStateOf(const QuarantineTable& table, Fingerprint request, Millis now);

/// @brief Takes over an entry that another node has decided. A quarantine
/// is never weakened to a suspicion.
void MergeSuspectEntry(QuarantineTable& table,
                       Fingerprint request,
                       const SuspectEntry& entry);

/// @brief Ends a request's suspicion or quarantine.
/// @return Whether there was one.
bool RemoveSuspectEntry(QuarantineTable& table, Fingerprint request);

/// @brief Drops what has expired.
void RemoveExpiredEntries(QuarantineTable& table, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_QUARANTINE_QUARANTINE_H_
