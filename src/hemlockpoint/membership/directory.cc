#include "hemlockpoint/membership/directory.h"

#include <algorithm>
#include <utility>

namespace hemlockpoint {

namespace {

bool HasSamePublishedFields(const MemberEntry& a, const MemberEntry& b) {
  return a.m_incarnation == b.m_incarnation && a.m_peer == b.m_peer &&
         a.m_admin == b.m_admin && a.m_region == b.m_region &&
         a.m_failure_domain == b.m_failure_domain &&
         a.m_target.m_service == b.m_target.m_service &&
         a.m_target.m_slots == b.m_target.m_slots &&
         a.m_target.m_leaving == b.m_target.m_leaving;
}

bool IsSubscribed(const Subscriber& subscriber, const DirectoryMember& member) {
  return subscriber.m_interests.count(member.m_entry.m_target.m_service) != 0;
}

bool WasSubscribed(const Subscriber& subscriber,
                   const DirectoryMember& member) {
  return std::any_of(member.m_former_services.begin(),
                     member.m_former_services.end(),
                     [&](const ServiceName& service) {
                       return subscriber.m_interests.count(service) != 0;
                     });
}

void RecordFormerService(DirectoryMember& member, const ServiceName& service) {
  if (!service.empty() &&
      member.m_former_services.size() < kMaxFormerServices) {
    member.m_former_services.insert(service);
  }
}

}  // namespace

Directory StartDirectory(std::string origin, Millis now) {
  Directory directory;
  directory.m_origin = std::move(origin);
  directory.m_started = now;
  return directory;
}

bool HasWarmedUp(const Directory& directory, Millis now) {
  return directory.m_started && now - *directory.m_started >= kDirectoryWarmUp;
}

bool RenewMember(Directory& directory, const MemberEntry& entry, Millis now) {
  const auto found = directory.m_members.find(entry.m_node);
  if (found == directory.m_members.end() &&
      directory.m_members.size() >= kMaxMembers) {
    return false;
  }
  DirectoryMember& member = directory.m_members[entry.m_node];
  const bool is_known = found != directory.m_members.end();
  // A late heartbeat of an earlier incarnation is ignored. A lower incarnation
  // is accepted only once the known one is silent: its process was started
  // after the clock of its host had been set back.
  const bool is_silent =
      is_known && now - member.m_renewed > kIncarnationRollbackDelay;
  if (is_known && !is_silent &&
      entry.m_incarnation < member.m_entry.m_incarnation) {
    return false;
  }
  const bool changed = !is_known || member.m_gone ||
                       !HasSamePublishedFields(member.m_entry, entry);
  const ServiceName former_service = member.m_entry.m_target.m_service;
  if (former_service != entry.m_target.m_service) {
    RecordFormerService(member, former_service);
  }
  member.m_entry = entry;
  member.m_renewed = now;
  member.m_gone = false;
  if (changed) {
    member.m_version = ++directory.m_version;
  }
  return changed;
}

std::vector<NodeId> ExpireMembers(Directory& directory, Millis now) {
  // Heartbeats that arrived during a stall of this process are still unread.
  const Millis since_last = now - directory.m_expired_at.value_or(now);
  const Millis stall =
      since_last > kLeaderStallThreshold ? since_last : Millis(0);
  directory.m_expired_at = now;
  std::vector<NodeId> gone;
  auto entry = directory.m_members.begin();
  while (entry != directory.m_members.end()) {
    DirectoryMember& member = entry->second;
    member.m_renewed = Min(member.m_renewed + stall, now);
    const Millis silence = now - member.m_renewed;
    if (!member.m_gone && silence > kMemberLease) {
      member.m_gone = true;
      member.m_version = ++directory.m_version;
      gone.push_back(entry->first);
    }
    const bool is_tombstone_expired =
        member.m_gone && silence > kTombstoneRetention;
    entry = is_tombstone_expired ? directory.m_members.erase(entry)
                                 : std::next(entry);
  }
  return gone;
}

void UpdateInterests(Subscriber& subscriber,
                     const Directory& directory,
                     const Heartbeat& heartbeat) {
  const std::set<ServiceName> interests(heartbeat.m_interests.begin(),
                                        heartbeat.m_interests.end());
  const bool same_directory =
      heartbeat.m_directory_origin == directory.m_origin;
  if (interests != subscriber.m_interests || !same_directory) {
    subscriber.m_interests = interests;
    subscriber.m_version = 0;
    subscriber.m_has_full_state = false;
  }
}

DirectoryDelta CollectDelta(Subscriber& subscriber,
                            const Directory& directory,
                            Millis now) {
  DirectoryDelta delta;
  const bool send_full =
      HasWarmedUp(directory, now) && !subscriber.m_has_full_state;
  const bool has_unsent_changes = subscriber.m_version < directory.m_version;
  if (!directory.m_started || subscriber.m_interests.empty() ||
      (!send_full && !has_unsent_changes)) {
    return delta;
  }
  delta.m_origin = directory.m_origin;
  delta.m_version = directory.m_version;
  delta.m_is_full = send_full;
  const std::uint64_t since = send_full ? 0 : subscriber.m_version;
  for (const auto& [node, member] : directory.m_members) {
    if (member.m_version <= since) {
      continue;
    }
    const bool is_subscribed = IsSubscribed(subscriber, member);
    if (!is_subscribed && !WasSubscribed(subscriber, member)) {
      continue;
    }
    if (member.m_gone || !is_subscribed) {
      delta.m_gone.push_back(node);
    } else {
      delta.m_changed.push_back(member.m_entry);
    }
  }
  subscriber.m_version = directory.m_version;
  subscriber.m_has_full_state = subscriber.m_has_full_state || send_full;
  if (send_full || !delta.m_changed.empty() || !delta.m_gone.empty()) {
    delta.m_services.assign(subscriber.m_interests.begin(),
                            subscriber.m_interests.end());
  }
  return delta;
}

}  // namespace hemlockpoint
