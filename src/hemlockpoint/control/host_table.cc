#include "hemlockpoint/control/host_table.h"

#include <algorithm>

namespace hemlockpoint {

namespace {

// The hosts that this host can ask for the leader, or tell that it leads.
std::vector<Endpoint> OtherHosts(const HostTable& table,
                                 const RaftState& raft,
                                 const Endpoint& self) {
  std::vector<Endpoint> hosts = KnownHosts(table.m_hosts);
  for (const GroupMember& member : raft.m_config.m_config.m_members) {
    const Result<Endpoint> peer = ParseEndpoint(member.m_peer);
    if (peer && std::find(hosts.begin(), hosts.end(), *peer) == hosts.end()) {
      hosts.push_back(*peer);
    }
  }
  hosts.erase(std::remove(hosts.begin(), hosts.end(), self), hosts.end());
  return hosts;
}

bool WasHeardSince(const HostTable& table, const Endpoint& peer, Millis time) {
  const std::string text = ToText(peer);
  return std::any_of(table.m_heartbeats.begin(), table.m_heartbeats.end(),
                     [&](const auto& entry) {
                       return entry.second.m_heartbeat.m_peer == text &&
                              entry.second.m_received_at > time;
                     });
}

}  // namespace

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

// Without a known leader the heartbeat goes to every known host: asking them in
// turn takes longer than the time in which a wiped host has to be replaced.
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
  if (leader_endpoint) {
    return {*leader_endpoint};
  }
  const Endpoint& heard = table.m_hosts.m_current;
  if (HasLeader(table.m_hosts, now) && !(heard == self)) {
    return {heard};
  }
  return OtherHosts(table, raft, self);
}

std::vector<Endpoint> AnnouncementReceivers(const HostTable& table,
                                            const RaftState& raft,
                                            const Endpoint& self,
                                            Millis now) {
  if (!IsEstablishedLeader(raft)) {
    return {};
  }
  std::vector<Endpoint> receivers = OtherHosts(table, raft, self);
  receivers.erase(std::remove_if(receivers.begin(), receivers.end(),
                                 [&](const Endpoint& receiver) {
                                   return WasHeardSince(
                                       table, receiver,
                                       now - kAnnouncementSilence);
                                 }),
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

HeartbeatAck MakeHostHeartbeatAck(const HostTable& table,
                                  const RaftState& raft,
                                  Millis now) {
  HeartbeatAck ack = MakeHeartbeatAck(table, raft, now);
  for (const GroupMember& member : raft.m_config.m_config.m_members) {
    ack.m_hosts.push_back(member.m_peer);
  }
  return ack;
}

}  // namespace hemlockpoint
