#include "hemlockpoint/control/host_table.h"

#include <algorithm>

namespace hemlockpoint {

void FollowLeadership(HostTable& table, const RaftState& raft, Millis now) {
  const bool is_leader = IsEstablishedLeader(raft);
  if (is_leader != table.m_was_leader) {
    table.m_was_leader = is_leader;
    table.m_heartbeats = MakeInitialHeartbeats(raft.m_config.m_config, now);
  }
}

void RecordHostHeartbeat(HostTable& table,
                         const RaftState& raft,
                         const HostHeartbeat& heartbeat,
                         Millis now) {
  FollowLeadership(table, raft, now);
  if (IsEstablishedLeader(raft)) {
    table.m_heartbeats[heartbeat.m_instance] = {heartbeat, now};
  }
}

std::optional<Endpoint> RecordHostHeartbeatAck(HostTable& table,
                                               const RaftState& raft,
                                               const Endpoint& self,
                                               const HeartbeatAck& ack,
                                               Millis now) {
  const bool is_from_leader = HandleHeartbeatAck(table.m_hosts, ack, now);
  const Result<Endpoint> leader = ParseEndpoint(ack.m_leader);
  if (!leader || IsEstablishedLeader(raft) || *leader == self) {
    return std::nullopt;
  }
  table.m_hosts.m_current = *leader;
  if (is_from_leader) {
    table.m_heard_leader = {ack.m_leader, ack.m_leader_admin.value_or("")};
    return std::nullopt;
  }
  // Two hosts that disagree about the leader would name each other without end.
  if (now - table.m_last_followed_at < kHostHeartbeatPeriod) {
    return std::nullopt;
  }
  table.m_last_followed_at = now;
  return *leader;
}

// Without a known leader the heartbeat goes to every seed: asking them in turn
// takes longer than the time in which a wiped host has to be replaced.
std::vector<Endpoint> HostHeartbeatReceivers(const HostTable& table,
                                             const RaftState& raft,
                                             const Endpoint& self,
                                             Millis now) {
  if (IsEstablishedLeader(raft)) {
    return {};
  }
  const GroupMember* leader = FindLeader(raft);
  const Result<Endpoint> leader_endpoint =
      ParseEndpoint(leader ? leader->m_peer : "");
  std::vector<Endpoint> receivers = table.m_hosts.m_seeds;
  if (leader_endpoint) {
    receivers = {*leader_endpoint};
  } else if (HasLeader(table.m_hosts, now)) {
    receivers = {table.m_hosts.m_current};
  }
  receivers.erase(std::remove(receivers.begin(), receivers.end(), self),
                  receivers.end());
  return receivers;
}

std::optional<HeardLeader> FindHeardLeader(const HostTable& table, Millis now) {
  return HasLeader(table.m_hosts, now)
             ? std::optional<HeardLeader>(table.m_heard_leader)
             : std::nullopt;
}

HeartbeatAck MakeHeartbeatAck(const HostTable& table,
                              const RaftState& raft,
                              Millis now) {
  HeartbeatAck ack;
  ack.m_is_leader = IsEstablishedLeader(raft);
  ack.m_quorum_ack_age = Min(QuorumAckAge(raft, now), Millis(1e9));
  if (const GroupMember* leader = FindLeader(raft)) {
    ack.m_leader = leader->m_peer;
    ack.m_leader_admin = leader->m_admin;
  } else if (const auto heard = FindHeardLeader(table, now)) {
    ack.m_leader = heard->m_peer;
    ack.m_leader_admin = heard->m_admin;
  }
  return ack;
}

}  // namespace hemlockpoint
