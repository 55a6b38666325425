#ifndef HEMLOCKPOINT_CLAIMS_PLANNER_H_
#define HEMLOCKPOINT_CLAIMS_PLANNER_H_

#include <map>
#include <optional>
#include <vector>

#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/wire/claim_messages.h"

namespace hemlockpoint {

/// @brief A node that may become a claim replica.
struct ReplicaCandidate {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  std::string m_peer;
  std::string m_failure_domain;
  ServiceName m_service;
  bool m_leaving = false;
};

/// @brief Number of claim replicas of a service when enough nodes are alive.
inline constexpr std::size_t kPreferredReplicaCount = 5;
/// @brief Downtime after which a replica is replaced. The delay keeps a restart
/// from moving claims.
inline constexpr Millis kReplicaReplacementDelay(10'000);

/// @brief How long each replica of a set has been down.
using DowntimeByNode = std::map<NodeId, Millis>;

/// @brief Decides whether a service needs a new set of claim replicas. A set is
/// changed by one replica at a time, except when its majority is lost.
/// @param set The current set; epoch 0 when the service has none yet.
/// @param alive Nodes that are alive now.
/// @param downtimes Downtime of the replicas of the set that are down.
/// @return The next set, or nothing when the current one stays.
[[nodiscard]] std::optional<ClaimReplicaSet> PlanClaimSet(
    const ClaimReplicaSet& set,
    const std::vector<ReplicaCandidate>& alive,
    const DowntimeByNode& downtimes);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CLAIMS_PLANNER_H_
