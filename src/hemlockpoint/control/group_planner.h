#ifndef HEMLOCKPOINT_CONTROL_GROUP_PLANNER_H_
#define HEMLOCKPOINT_CONTROL_GROUP_PLANNER_H_

#include <map>
#include <optional>
#include <string>

#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/wire/consensus_messages.h"
#include "hemlockpoint/wire/document_messages.h"

namespace hemlockpoint {

/// @brief Time between two heartbeats of a control host to the leader.
inline constexpr Millis kHostHeartbeatPeriod(500);
/// @brief A host can be added as a member if its last heartbeat is younger than
/// this: two heartbeat periods, and the delay of a slow link.
inline constexpr Millis kNewMemberMaxSilence(1500);
/// @brief A member that sends no heartbeat for this time counts as lost, and is
/// replaced when another host is available: three lost heartbeats, and the time
/// of an election.
inline constexpr Millis kMemberLossTimeout(2500);

/// @brief The last heartbeat that the leader received from a control host.
struct ReceivedHostHeartbeat {
  HostHeartbeat m_heartbeat;
  Millis m_received_at;
};

/// @brief Heartbeats by the instance of the sending host's data folder.
using HostHeartbeats = std::map<std::string, ReceivedHostHeartbeat>;

/// @return The heartbeats that a new leader starts with: each member counts as
/// heard at the election, so that it has the time to send a heartbeat.
[[nodiscard]] HostHeartbeats MakeInitialHeartbeats(const GroupConfig& config,
                                                   Millis elected_at);

/// @brief A change of the group's members by one member.
struct GroupConfigChange {
  GroupConfig m_config;
  /// For the log: "add" or "remove", the member's instance, and the reason.
  std::string m_action;
  std::string m_instance;
  std::string m_reason;
};

/// @brief Decides the next change of the group's members. A member whose host
/// has returned without its data is removed at once, and another host is added
/// as a learner. To replace a silent member, which may still have its data,
/// another host is added first, and the silent member is removed once the
/// learner has become a voter. A silent member without a replacement stays,
/// since removing it would lower the number of disks that hold each entry.
/// @param self Instance of the leader, which sends no heartbeats to itself.
/// @param voters Number of voters that the group should have.
/// @return The change, or nothing if none is needed or possible.
[[nodiscard]] std::optional<GroupConfigChange> PlanGroupChange(
    const GroupConfig& config,
    const HostHeartbeats& heartbeats,
    const std::string& self,
    std::size_t voters,
    Millis now);

/// @return The number of voters that a group needs to tolerate this many
/// losses.
[[nodiscard]] constexpr std::size_t VoterCountFor(std::size_t losses) {
  return 2 * losses + 1;
}

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_GROUP_PLANNER_H_
