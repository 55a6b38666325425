#include "hemlockpoint/control/group_planner.h"

#include <algorithm>

namespace hemlockpoint {

namespace {

const GroupMember* FindMember(const GroupConfig& config,
                              const std::string& instance) {
  const auto found = std::find_if(
      config.m_members.begin(), config.m_members.end(),
      [&](const GroupMember& m) { return m.m_instance == instance; });
  return found == config.m_members.end() ? nullptr : &*found;
}

bool WasHeardWithin(const HostHeartbeats& heartbeats,
                    const std::string& instance,
                    Millis max_age,
                    Millis now) {
  const auto host = heartbeats.find(instance);
  return host != heartbeats.end() && now - host->second.m_received_at < max_age;
}

// Whether the host at this peer endpoint has returned with a newer instance,
// having lost its data.
bool IsWiped(const HostHeartbeats& heartbeats,
             const std::string& instance,
             const std::string& peer) {
  const auto own = heartbeats.find(instance);
  return std::any_of(
      heartbeats.begin(), heartbeats.end(), [&](const auto& entry) {
        const ReceivedHostHeartbeat& host = entry.second;
        return host.m_heartbeat.m_peer == peer && entry.first != instance &&
               (own == heartbeats.end() ||
                own->second.m_received_at < host.m_received_at);
      });
}

bool IsSilent(const HostHeartbeats& heartbeats,
              const GroupMember& member,
              const std::string& self,
              Millis now) {
  return member.m_instance != self &&
         !WasHeardWithin(heartbeats, member.m_instance, kMemberLossTimeout,
                         now);
}

// Chooses a host that sends heartbeats and belongs neither to this group nor to
// another one.
const HostHeartbeat* ChooseNewMember(const GroupConfig& config,
                                     const HostHeartbeats& heartbeats,
                                     Millis now) {
  for (const auto& [instance, host] : heartbeats) {
    const bool is_in_other_group =
        !host.m_heartbeat.m_group_id.empty() &&
        host.m_heartbeat.m_group_id != config.m_group_id;
    if (FindMember(config, instance) == nullptr && !is_in_other_group &&
        now - host.m_received_at < kNewMemberMaxSilence &&
        !IsWiped(heartbeats, instance, host.m_heartbeat.m_peer)) {
      return &host.m_heartbeat;
    }
  }
  return nullptr;
}

GroupConfigChange MakeAddition(const GroupConfig& config,
                               const HostHeartbeat& host,
                               std::string reason) {
  GroupConfigChange change{config, "add", host.m_instance, std::move(reason)};
  GroupMember member;
  member.m_node = host.m_node;
  member.m_instance = host.m_instance;
  member.m_peer = host.m_peer;
  member.m_admin = host.m_admin;
  change.m_config.m_members.push_back(std::move(member));
  return change;
}

GroupConfigChange MakeRemoval(const GroupConfig& config,
                              const std::string& instance,
                              std::string reason) {
  GroupConfigChange change{config, "remove", instance, std::move(reason)};
  auto& members = change.m_config.m_members;
  members.erase(std::remove_if(members.begin(), members.end(),
                               [&](const GroupMember& member) {
                                 return member.m_instance == instance;
                               }),
                members.end());
  return change;
}

}  // namespace

HostHeartbeats MakeInitialHeartbeats(const GroupConfig& config,
                                     Millis elected_at) {
  HostHeartbeats heartbeats;
  for (const GroupMember& member : config.m_members) {
    HostHeartbeat heartbeat;
    heartbeat.m_node = member.m_node;
    heartbeat.m_instance = member.m_instance;
    heartbeat.m_peer = member.m_peer;
    heartbeat.m_admin = member.m_admin;
    heartbeat.m_group_id = config.m_group_id;
    heartbeats[member.m_instance] = {std::move(heartbeat), elected_at};
  }
  return heartbeats;
}

std::optional<GroupConfigChange> PlanGroupChange(
    const GroupConfig& config,
    const HostHeartbeats& heartbeats,
    const std::string& self,
    std::size_t voters,
    Millis now) {
  std::size_t voter_count = 0;
  std::size_t live_voter_count = 0;
  const GroupMember* lost_voter = nullptr;
  for (const GroupMember& member : config.m_members) {
    // A wiped voter has no data and can't vote. As long as it counts, the
    // majority is that of a larger group: with three voters, its replacement
    // makes four, of which no further one may be lost.
    const bool is_wiped = member.m_instance != self &&
                          IsWiped(heartbeats, member.m_instance, member.m_peer);
    if (is_wiped) {
      return MakeRemoval(config, member.m_instance, "data lost");
    }
    const bool is_lost = IsSilent(heartbeats, member, self, now);
    if (!member.m_is_voter) {
      // A lost learner is removed, so that another host can be added.
      return is_lost ? std::optional<GroupConfigChange>(MakeRemoval(
                           config, member.m_instance, "learner lost"))
                     : std::nullopt;
    }
    ++voter_count;
    live_voter_count += is_lost ? 0 : 1;
    lost_voter = is_lost ? &member : lost_voter;
  }
  if (lost_voter != nullptr && voter_count > voters) {
    return MakeRemoval(config, lost_voter->m_instance, "replaced");
  }
  if (live_voter_count < voters) {
    if (const HostHeartbeat* host = ChooseNewMember(config, heartbeats, now)) {
      return MakeAddition(
          config, *host,
          lost_voter != nullptr ? "member lost" : "too few members");
    }
  }
  return std::nullopt;
}

}  // namespace hemlockpoint
