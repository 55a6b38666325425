#ifndef HEMLOCKPOINT_CLAIMS_PLANNER_H_
#define HEMLOCKPOINT_CLAIMS_PLANNER_H_

#include <map>
#include <optional>
#include <vector>

#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/wire/claim_messages.h"

namespace hemlockpoint {

/// @brief A node that may become a replica.
struct ReplicaCandidate {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  std::string m_peer;
  std::string m_failure_domain;
  ServiceName m_service;
  bool m_leaving = false;
};

/// @brief Replicas of one service wanted when enough nodes live.
inline constexpr std::size_t kPreferredReplicaCount = 5;
/// @brief Time for which a replica must be gone before another takes its
/// place, so that a restart doesn't move claims.
inline constexpr Millis kReplicaReplacementDelay(10'000);

/// @brief How long each replica of a set has not been alive.
using DowntimeByNode = std::map<NodeId, Millis>;

/// @brief Decides whether a service needs a new set of replicas.
/// @param set The set in force; epoch 0 when there is none yet.
/// @param alive Nodes alive now.
/// @return The next set, or nothing when the present one stays.
[[nodiscard]] std::optional<ClaimSet> PlanClaimSet(
    const ClaimSet& set,
    const std::vector<ReplicaCandidate>& alive,
    const DowntimeByNode& absences);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CLAIMS_PLANNER_H_
