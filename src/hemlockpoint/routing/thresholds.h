#ifndef HEMLOCKPOINT_ROUTING_THRESHOLDS_H_
#define HEMLOCKPOINT_ROUTING_THRESHOLDS_H_

#include <map>
#include <unordered_map>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief How long a told threshold counts.
inline constexpr Millis kThresholdMaxAge(1000);

/// @brief Shedding thresholds that answers have told, by kind of work and by
/// the node that told them.
struct ThresholdTable {
  struct Entry {
    double m_threshold = 0;
    Millis m_reported_at;
  };
  std::unordered_map<KindName, std::map<NodeId, Entry>> m_kinds;
};

/// @brief Notes a threshold that an answer told.
void RecordThreshold(ThresholdTable& table,
                     const KindName& kind,
                     const NodeId& node,
                     double threshold,
                     Millis now);

/// @brief The rank above which every target would refuse a kind of work.
/// @param targets Targets that may take the call; one that has told nothing
/// lately may admit everything.
/// @return The highest fresh threshold, or no shedding.
[[nodiscard]] double EntryThreshold(const ThresholdTable& table,
                                    const KindName& kind,
                                    std::size_t targets,
                                    Millis now);

/// @brief Drops what is no longer fresh.
void RemoveOldThresholds(ThresholdTable& table, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ROUTING_THRESHOLDS_H_
