#ifndef HEMLOCKPOINT_MEMBERSHIP_DIRECTORY_H_
#define HEMLOCKPOINT_MEMBERSHIP_DIRECTORY_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/wire/membership_messages.h"

namespace hemlockpoint {

/// @brief Time between two heartbeats of a node.
inline constexpr Millis kHeartbeatPeriod(500);
/// @brief Time without a heartbeat after which a node counts as dead.
inline constexpr Millis kMemberLease(2500);
/// @brief Silence after which a node's later life gives way to an earlier
/// one: two heartbeats.
inline constexpr Millis kIncarnationRollbackDelay(1000);
/// @brief Time after which a new directory has heard every living node.
inline constexpr Millis kDirectoryWarmUp(4000);
/// @brief Time for which the directory remembers that a member has gone.
inline constexpr Millis kTombstoneRetention(30'000);
/// @brief Members at most, dead ones included.
inline constexpr std::size_t kMaxMembers = 4096;

struct DirectoryMember {
  MemberEntry m_entry;
  Millis m_renewed;
  /// Directory version of the last change that others care about.
  std::uint64_t m_version = 0;
  bool m_gone = false;
};

/// @brief The living nodes, as the leader of the control group knows them.
struct Directory {
  std::string m_origin;
  std::uint64_t m_version = 0;
  Millis m_started;
  std::map<NodeId, DirectoryMember> m_members;
};

/// @brief What a node has asked for and been sent.
struct Subscriber {
  std::set<ServiceName> m_interests;
  std::uint64_t m_version = 0;
  bool m_has_full_state = false;
};

/// @brief Renews a member's lease.
/// @return Whether anything changed that other members care about.
bool RenewMember(Directory& directory, const MemberEntry& entry, Millis now);

/// @brief Marks members whose lease is over as gone, and forgets old ones.
/// @return The members that went.
std::vector<NodeId> ExpireMembers(Directory& directory, Millis now);

/// @brief Takes a subscriber's wishes from its heartbeat.
void UpdateInterests(Subscriber& subscriber,
                     const Directory& directory,
                     const Heartbeat& heartbeat);

/// @brief Collects what a subscriber has not been sent yet. Until the
/// directory is warm, a delta only adds, so that nobody takes members for
/// gone that have not reported yet.
/// @return The delta; without services when there is nothing to send.
[[nodiscard]] DirectoryDelta CollectDelta(Subscriber& subscriber,
                                          const Directory& directory,
                                          Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_MEMBERSHIP_DIRECTORY_H_
