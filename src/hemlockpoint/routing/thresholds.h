#ifndef HEMLOCKPOINT_ROUTING_THRESHOLDS_H_
#define HEMLOCKPOINT_ROUTING_THRESHOLDS_H_

#include <map>
#include <unordered_map>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief How long a reported threshold is valid.
inline constexpr Millis kThresholdMaxAge(1000);

/// @brief Shedding thresholds that nodes reported with responses, by kind of
/// work and by node.
struct ThresholdTable {
  struct Entry {
    double m_threshold = 0;
    Millis m_reported_at;
  };
  std::unordered_map<KindName, std::map<NodeId, Entry>> m_kinds;
};

/// @brief Records a threshold that was reported with a response. A kind beyond
/// kMaxKinds is not recorded.
void RecordThreshold(ThresholdTable& table,
                     const KindName& kind,
                     const NodeId& node,
                     double threshold,
                     Millis now);

/// @brief Computes the rank above which every target would shed a kind of work,
/// so that such a call can be refused at its entry node.
/// @param targets Number of targets that may take the call.
/// @return The highest valid threshold, or kNoShedding if fewer than `targets`
/// nodes have a valid one. A target without one may admit every call.
[[nodiscard]] double EntryThreshold(const ThresholdTable& table,
                                    const KindName& kind,
                                    std::size_t targets,
                                    Millis now);

/// @brief Removes the thresholds that are no longer valid.
void RemoveOldThresholds(ThresholdTable& table, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ROUTING_THRESHOLDS_H_
