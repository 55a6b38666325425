#ifndef HEMLOCKPOINT_CONTROL_GROUP_PLANNER_H_
#define HEMLOCKPOINT_CONTROL_GROUP_PLANNER_H_

#include <map>
#include <optional>
#include <string>

#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/wire/consensus_messages.h"
#include "hemlockpoint/wire/document_messages.h"

namespace hemlockpoint {

/// @brief Time between two beats of a control host to the leader.
inline constexpr Millis kHostHeartbeatPeriod(500);
/// @brief A host heard within this time can be made a member: two beats and a
/// slow link.
inline constexpr Millis kNewMemberMaxSilence(1500);
/// @brief A member that is silent for longer is replaced when there is
/// another host for its place: three beats lost, and an election's time.
inline constexpr Millis kMemberLossTimeout(2500);

/// @brief A control host as the leader heard of it last.
struct ReceivedHostHeartbeat {
  HostHeartbeat m_heartbeat;
  Millis m_heard;
};

/// @brief Hosts by the instance of their data.
using HostHeartbeats = std::map<std::string, ReceivedHostHeartbeat>;

/// @brief One change of the group's members.
struct GroupConfigChange {
  GroupConfig m_config;
  /// For the log: what is changed, about whom, and why.
  std::string m_action;
  std::string m_instance;
  std::string m_reason;
};

/// @brief Decides the next change of members, one at a time: a fresh host
/// takes the place of a lost one, and the lost one is removed once the other
/// counts. A lost member without a replacement stays, since removing it would
/// lower the number of disks that hold an entry.
/// @param self Instance of the leader, which needs no beat.
/// @param voters Members that the group should have.
/// @return The change, or nothing to do.
[[nodiscard]] std::optional<GroupConfigChange> PlanGroupChange(
    const GroupConfig& config,
    const HostHeartbeats& heard,
    const std::string& self,
    std::size_t voters,
    Millis now);

/// @return Members that bear the loss of so many disks.
[[nodiscard]] constexpr std::size_t VoterCountFor(std::size_t losses) {
  return 2 * losses + 1;
}

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_GROUP_PLANNER_H_
