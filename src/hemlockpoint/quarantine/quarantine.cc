#include "hemlockpoint/quarantine/quarantine.h"

#include <algorithm>

namespace hemlockpoint {

namespace {

void EvictIfFull(QuarantineTable& table) {
  if (table.m_entries.size() < kMaxTrackedRequests) {
    return;
  }
  const auto first =
      std::min_element(table.m_entries.begin(), table.m_entries.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.m_expires < b.second.m_expires;
                       });
  table.m_entries.erase(first);
}

void StoreEntry(QuarantineTable& table,
                Fingerprint request,
                const SuspectEntry& entry) {
  if (table.m_entries.count(request) == 0) {
    EvictIfFull(table);
  }
  table.m_entries[request] = entry;
}

}  // namespace

std::vector<Fingerprint> RecordCrash(QuarantineTable& table,
                                     const std::vector<InFlightCall>& in_flight,
                                     Millis now) {
  const bool has_suspect =
      std::any_of(in_flight.begin(), in_flight.end(),
                  [](const InFlightCall& call) { return call.m_was_suspect; });
  std::vector<Fingerprint> changed;
  for (const InFlightCall& call : in_flight) {
    if (call.m_was_suspect) {
      StoreEntry(table, call.m_fingerprint,
                 {SuspectState::kQuarantined, now + kQuarantineDuration});
      changed.push_back(call.m_fingerprint);
    } else if (!has_suspect &&
               !SuspectStateOf(table, call.m_fingerprint, now)) {
      StoreEntry(table, call.m_fingerprint,
                 {SuspectState::kSuspect, now + kSuspicionDuration});
      changed.push_back(call.m_fingerprint);
    }
  }
  return changed;
}

bool ClearSuspect(QuarantineTable& table, Fingerprint request) {
  const auto found = table.m_entries.find(request);
  const bool is_suspect = found != table.m_entries.end() &&
                          found->second.m_state == SuspectState::kSuspect;
  if (is_suspect) {
    table.m_entries.erase(found);
  }
  return is_suspect;
}

std::optional<SuspectState> SuspectStateOf(const QuarantineTable& table,
                                           Fingerprint request,
                                           Millis now) {
  const auto found = table.m_entries.find(request);
  if (found == table.m_entries.end() || found->second.m_expires <= now) {
    return std::nullopt;
  }
  return found->second.m_state;
}

void MergeSuspectEntry(QuarantineTable& table,
                       Fingerprint request,
                       const SuspectEntry& entry) {
  const auto found = table.m_entries.find(request);
  const bool is_weaker = found != table.m_entries.end() &&
                         found->second.m_state == SuspectState::kQuarantined &&
                         entry.m_state == SuspectState::kSuspect;
  if (!is_weaker) {
    StoreEntry(table, request, entry);
  }
}

bool RemoveSuspectEntry(QuarantineTable& table, Fingerprint request) {
  return table.m_entries.erase(request) != 0;
}

void RemoveExpiredEntries(QuarantineTable& table, Millis now) {
  for (auto entry = table.m_entries.begin(); entry != table.m_entries.end();) {
    const bool is_expired = entry->second.m_expires <= now;
    entry = is_expired ? table.m_entries.erase(entry) : std::next(entry);
  }
}

}  // namespace hemlockpoint
