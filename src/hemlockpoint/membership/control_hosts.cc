#include "hemlockpoint/membership/control_hosts.h"

#include <algorithm>
#include <utility>

namespace hemlockpoint {

void SetSeeds(ControlHosts& hosts, std::vector<Endpoint> seeds, Millis now) {
  hosts.m_seeds = std::move(seeds);
  if (hosts.m_current.m_address.empty() && !hosts.m_seeds.empty()) {
    hosts.m_current = hosts.m_seeds.front();
    hosts.m_current_since = now;
  }
}

std::vector<Endpoint> KnownHosts(const ControlHosts& hosts) {
  std::vector<Endpoint> known = hosts.m_learned_hosts;
  for (const Endpoint& seed : hosts.m_seeds) {
    if (std::find(known.begin(), known.end(), seed) == known.end()) {
      known.push_back(seed);
    }
  }
  return known;
}

bool IsCurrentHostSilent(const ControlHosts& hosts, Millis now) {
  return now - Max(hosts.m_last_quorum_ack, hosts.m_current_since) >
         kHostSilenceTimeout;
}

void SelectNextHost(ControlHosts& hosts, Millis now) {
  const std::vector<Endpoint> all = KnownHosts(hosts);
  hosts.m_current_since = now;
  if (all.empty()) {
    return;
  }
  hosts.m_host_index = (hosts.m_host_index + 1) % all.size();
  if (all[hosts.m_host_index] == hosts.m_current) {
    hosts.m_host_index = (hosts.m_host_index + 1) % all.size();
  }
  hosts.m_current = all[hosts.m_host_index];
}

bool HandleHeartbeatAck(ControlHosts& hosts,
                        const HeartbeatAck& ack,
                        Millis now) {
  std::vector<Endpoint> learned;
  for (const std::string& text : ack.m_hosts) {
    const Result<Endpoint> host = ParseEndpoint(text);
    if (host) {
      learned.push_back(*host);
    }
  }
  if (!learned.empty()) {
    hosts.m_learned_hosts = std::move(learned);
  }
  if (ack.m_is_leader && ack.m_quorum_ack_age < kMaxQuorumAckAge) {
    hosts.m_last_quorum_ack = now - ack.m_quorum_ack_age;
    return true;
  }
  const Result<Endpoint> leader = ParseEndpoint(ack.m_leader);
  if (leader && !(*leader == hosts.m_current)) {
    hosts.m_current = *leader;
    hosts.m_current_since = now;
  }
  return false;
}

bool HasLeader(const ControlHosts& hosts, Millis now) {
  return now - hosts.m_last_quorum_ack < kMaxQuorumAckAge;
}

}  // namespace hemlockpoint
