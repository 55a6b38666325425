#include "hemlockpoint/quarantine/crash_counts.h"

#include <algorithm>

#include "hemlockpoint/quarantine/quarantine.h"

namespace hemlockpoint {

namespace {

CrashCount& FindOrAddEntry(CrashCounts& counts,
                           Fingerprint request,
                           Millis now) {
  auto& entries = counts.m_entries;
  const auto found = entries.find(request);
  if (found != entries.end()) {
    if (found->second.m_expires <= now) {
      found->second = {};
    }
    return found->second;
  }
  if (entries.size() >= kMaxTrackedRequests) {
    entries.erase(std::min_element(
        entries.begin(), entries.end(), [](const auto& a, const auto& b) {
          return a.second.m_expires < b.second.m_expires;
        }));
  }
  return entries[request];
}

void ExtendExpiry(CrashCount& entry, Millis now) {
  entry.m_expires =
      now + (entry.m_crashes >= kCrashesUntilQuarantine ? kQuarantineDuration
                                                        : kSuspicionDuration);
}

}  // namespace

void AddCrashes(CrashCounts& counts,
                Fingerprint request,
                std::uint64_t crashes,
                Millis now) {
  CrashCount& entry = FindOrAddEntry(counts, request, now);
  entry.m_crashes += crashes;
  ExtendExpiry(entry, now);
}

void MergeCrashTotal(CrashCounts& counts,
                     Fingerprint request,
                     std::uint64_t crashes,
                     Millis now) {
  CrashCount& entry = FindOrAddEntry(counts, request, now);
  entry.m_crashes = std::max(entry.m_crashes, crashes);
  ExtendExpiry(entry, now);
}

std::uint64_t ClearCrashes(CrashCounts& counts, Fingerprint request) {
  const auto found = counts.m_entries.find(request);
  if (found == counts.m_entries.end()) {
    return 0;
  }
  const std::uint64_t crashes = found->second.m_crashes;
  counts.m_entries.erase(found);
  return crashes;
}

std::uint64_t CrashesOf(const CrashCounts& counts,
                        Fingerprint request,
                        Millis now) {
  const auto found = counts.m_entries.find(request);
  const bool is_valid =
      found != counts.m_entries.end() && now < found->second.m_expires;
  return is_valid ? found->second.m_crashes : 0;
}

bool IsQuarantined(const CrashCounts& counts, Fingerprint request, Millis now) {
  return CrashesOf(counts, request, now) >= kCrashesUntilQuarantine;
}

}  // namespace hemlockpoint
