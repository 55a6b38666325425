#ifndef HEMLOCKPOINT_CONTROL_HOST_TABLE_H_
#define HEMLOCKPOINT_CONTROL_HOST_TABLE_H_

#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/consensus/raft.h"
#include "hemlockpoint/control/group_planner.h"
#include "hemlockpoint/membership/control_hosts.h"

namespace hemlockpoint {

/// @brief Time without a heartbeat from a host after which the leader tells it
/// that it leads: two heartbeat periods.
inline constexpr Millis kAnnouncementSilence = kHostHeartbeatPeriod * 2;

/// @brief The endpoints of a leader, as its reply to a heartbeat states them.
struct HeardLeader {
  std::string m_peer;
  std::string m_admin;
};

/// @brief What a control host knows of the others from their heartbeats and
/// from the replies to its own.
struct HostTable {
  /// Where this host looks for the leader.
  ControlHosts m_hosts;
  HeardLeader m_heard_leader;
  /// Used only while this host leads.
  HostHeartbeats m_heartbeats;
  bool m_was_leader = false;
  /// Time at which a heartbeat was last sent because a reply named the leader.
  Millis m_last_followed_at{-1e12};
};

/// @brief Starts the received heartbeats anew when this host has won or lost
/// the leadership. Call it before each use of them.
void FollowLeadership(HostTable& table, const RaftState& raft, Millis now);

/// @brief Records a host's heartbeat if this host is the leader.
void RecordHostHeartbeat(HostTable& table,
                         const RaftState& raft,
                         const HostHeartbeat& heartbeat,
                         Millis now);

/// @brief Handles the reply to this host's own heartbeat.
/// @param self Peer endpoint of this host, as in the functions below.
/// @return The leader that the reply names, if it has to be sent a heartbeat at
/// once.
[[nodiscard]] std::optional<Endpoint> RecordHostHeartbeatAck(
    HostTable& table,
    const RaftState& raft,
    const Endpoint& self,
    const HeartbeatAck& ack,
    Millis now);

/// @return The hosts to which this host sends its next heartbeat; none while it
/// leads.
[[nodiscard]] std::vector<Endpoint> HostHeartbeatReceivers(
    const HostTable& table,
    const RaftState& raft,
    const Endpoint& self,
    Millis now);

/// @return The hosts that this host, while it leads, has to tell so, because
/// they have sent it no heartbeat lately: a host that has lost its disk knows
/// only the seeds, and these may all be outside the group.
[[nodiscard]] std::vector<Endpoint> AnnouncementReceivers(
    const HostTable& table,
    const RaftState& raft,
    const Endpoint& self,
    Millis now);

/// @return The leader that replied to this host's heartbeats last; nothing if
/// no majority has acknowledged it within kMaxQuorumAckAge. A host outside the
/// group knows the leader only from these replies.
[[nodiscard]] std::optional<HeardLeader> FindHeardLeader(const HostTable& table,
                                                         Millis now);

/// @return The part of the reply to a heartbeat that tells who leads.
[[nodiscard]] HeartbeatAck MakeHeartbeatAck(const HostTable& table,
                                            const RaftState& raft,
                                            Millis now);

/// @return The same for a control host, with the endpoints of all members. A
/// leader also sends it unasked, to those that AnnouncementReceivers() returns.
[[nodiscard]] HeartbeatAck MakeHostHeartbeatAck(const HostTable& table,
                                                const RaftState& raft,
                                                Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_HOST_TABLE_H_
