#include "hemlockpoint/routing/thresholds.h"

#include <algorithm>

#include "hemlockpoint/admission/durations.h"
#include "hemlockpoint/admission/shed.h"

namespace hemlockpoint {

void RecordThreshold(ThresholdTable& table,
                     const KindName& kind,
                     const NodeId& node,
                     double threshold,
                     Millis now) {
  const bool is_known = table.m_kinds.count(kind) != 0;
  if (!is_known && table.m_kinds.size() >= kMaxKinds) {
    return;
  }
  table.m_kinds[kind][node] = {threshold, now};
}

double EntryThreshold(const ThresholdTable& table,
                      const KindName& kind,
                      std::size_t targets,
                      Millis now) {
  const auto found = table.m_kinds.find(kind);
  if (found == table.m_kinds.end()) {
    return kNoShedding;
  }
  double highest = 0;
  std::size_t valid_count = 0;
  for (const auto& [node, entry] : found->second) {
    if (now - entry.m_reported_at < kThresholdMaxAge) {
      highest = std::max(highest, entry.m_threshold);
      ++valid_count;
    }
  }
  return valid_count > 0 && valid_count >= targets ? highest : kNoShedding;
}

void RemoveOldThresholds(ThresholdTable& table, Millis now) {
  for (auto kind = table.m_kinds.begin(); kind != table.m_kinds.end();) {
    auto& entries = kind->second;
    for (auto entry = entries.begin(); entry != entries.end();) {
      const bool is_old = now - entry->second.m_reported_at >= kThresholdMaxAge;
      entry = is_old ? entries.erase(entry) : std::next(entry);
    }
    kind = entries.empty() ? table.m_kinds.erase(kind) : std::next(kind);
  }
}

}  // namespace hemlockpoint
