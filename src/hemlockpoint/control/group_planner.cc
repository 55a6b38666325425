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

bool WasHeardWithin(const HostHeartbeats& heard,
                    const std::string& instance,
                    Millis limit,
                    Millis now) {
  const auto host = heard.find(instance);
  return host != heard.end() && now - host->second.m_heard < limit;
}

// The same host has come back with other data.
bool HasNewInstance(const HostHeartbeats& heard,
                    const GroupMember& member,
                    Millis now) {
  return std::any_of(heard.begin(), heard.end(), [&](const auto& entry) {
    const ReceivedHostHeartbeat& host = entry.second;
    return host.m_heartbeat.m_peer == member.m_peer &&
           host.m_heartbeat.m_instance != member.m_instance &&
           now - host.m_heard < kNewMemberMaxSilence;
  });
}

bool IsLost(const HostHeartbeats& heard,
            const GroupMember& member,
            const std::string& self,
            Millis now) {
  if (member.m_instance == self) {
    return false;
  }
  return HasNewInstance(heard, member, now) ||
         !WasHeardWithin(heard, member.m_instance, kMemberLossTimeout, now);
}

// Prefers a host whose address no member has, so that a host which was wiped
// doesn't push aside one that has its data.
const HostHeartbeat* ChooseNewMember(const GroupConfig& config,
                                     const HostHeartbeats& heard,
                                     Millis now) {
  for (const auto& [instance, host] : heard) {
    const bool other_group = !host.m_heartbeat.m_group_id.empty() &&
                             host.m_heartbeat.m_group_id != config.m_group_id;
    if (FindMember(config, instance) == nullptr && !other_group &&
        now - host.m_heard < kNewMemberMaxSilence) {
      return &host.m_heartbeat;
    }
  }
  return nullptr;
}

GroupConfigChange Add(const GroupConfig& config,
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

GroupConfigChange Remove(const GroupConfig& config,
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

std::optional<GroupConfigChange> PlanGroupChange(const GroupConfig& config,
                                                 const HostHeartbeats& heard,
                                                 const std::string& self,
                                                 std::size_t voters,
                                                 Millis now) {
  std::size_t counting = 0;
  std::size_t living = 0;
  const GroupMember* lost_voter = nullptr;
  for (const GroupMember& member : config.m_members) {
    const bool lost = IsLost(heard, member, self, now);
    if (!member.m_is_voter) {
      // A learner that doesn't catch up makes room for another.
      return lost ? std::optional<GroupConfigChange>(
                        Remove(config, member.m_instance, "learner lost"))
                  : std::nullopt;
    }
    ++counting;
    living += lost ? 0 : 1;
    lost_voter = lost ? &member : lost_voter;
  }
  if (lost_voter != nullptr && counting > voters) {
    return Remove(config, lost_voter->m_instance, "replaced");
  }
  if (living < voters) {
    if (const HostHeartbeat* host = ChooseNewMember(config, heard, now)) {
      return Add(config, *host,
                 lost_voter != nullptr ? "member lost" : "too few members");
    }
  }
  return std::nullopt;
}

}  // namespace hemlockpoint
