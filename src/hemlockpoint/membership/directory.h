#ifndef HEMLOCKPOINT_MEMBERSHIP_DIRECTORY_H_
#define HEMLOCKPOINT_MEMBERSHIP_DIRECTORY_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/wire/membership_messages.h"

namespace hemlockpoint {

/// @brief Time between two heartbeats of a node.
inline constexpr Millis kHeartbeatPeriod(500);
/// @brief Time without a heartbeat after which a node is considered dead.
inline constexpr Millis kMemberLease(2500);
/// @brief Time without a heartbeat of a node's known incarnation after which a
/// lower incarnation replaces it: two heartbeats.
inline constexpr Millis kIncarnationRollbackDelay(1000);
/// @brief Time after which a new directory has received a heartbeat of every
/// live node.
inline constexpr Millis kDirectoryWarmUp(4000);
/// @brief Time between two calls of ExpireMembers() from which on the leader
/// counts as stalled. It calls the function every 100 ms.
inline constexpr Millis kLeaderStallThreshold(800);
/// @brief How long the directory keeps a member after its last heartbeat, so
/// that subscribers are told that it is gone.
inline constexpr Millis kTombstoneRetention(30'000);
/// @brief Maximum number of former services of a member that are remembered.
inline constexpr std::size_t kMaxFormerServices = 8;
/// @brief Maximum number of members, including those that are gone.
inline constexpr std::size_t kMaxMembers = 4096;

/// @brief The directory's entry of one node.
struct DirectoryMember {
  MemberEntry m_entry;
  /// Time of the last heartbeat.
  Millis m_renewed;
  /// Directory version of the last change that is sent to subscribers.
  std::uint64_t m_version = 0;
  /// Whether the lease has expired.
  bool m_gone = false;
  /// Services that the node's target belonged to before. Their subscribers may
  /// still have the node as a member.
  std::set<ServiceName> m_former_services;
};

/// @brief The nodes that send heartbeats to the leader of the control group.
struct Directory {
  /// Identifies the directory that m_version counts for. It changes with the
  /// leader.
  std::string m_origin;
  std::uint64_t m_version = 0;
  /// Time at which the leader started to collect heartbeats. Without it, the
  /// directory sends nothing to subscribers.
  std::optional<Millis> m_started;
  /// Time of the last ExpireMembers().
  std::optional<Millis> m_expired_at;
  std::map<NodeId, DirectoryMember> m_members;
};

/// @brief Creates the empty directory of a new leader.
[[nodiscard]] Directory StartDirectory(std::string origin, Millis now);

/// @return Whether the directory has received a heartbeat of every live node.
[[nodiscard]] bool HasWarmedUp(const Directory& directory, Millis now);

/// @brief What a node has subscribed to and has been sent.
struct Subscriber {
  /// Services whose members the node needs.
  std::set<ServiceName> m_interests;
  /// Directory version up to which changes were sent.
  std::uint64_t m_version = 0;
  /// Whether the full state was sent for these interests.
  bool m_has_full_state = false;
};

/// @brief Adds a member or renews its lease. A new member is ignored when the
/// directory is full.
/// @return Whether anything changed that is sent to subscribers.
bool RenewMember(Directory& directory, const MemberEntry& entry, Millis now);

/// @brief Marks members whose lease has expired as gone, and removes them after
/// kTombstoneRetention. Leases are extended by the time for which the leader
/// was stalled.
/// @return The newly gone members.
std::vector<NodeId> ExpireMembers(Directory& directory, Millis now);

/// @brief Takes over a subscriber's interests from its heartbeat. A change of
/// the interests or of the directory makes the subscriber start over.
void UpdateInterests(Subscriber& subscriber,
                     const Directory& directory,
                     const Heartbeat& heartbeat);

/// @brief Collects the changes that a subscriber has not been sent yet, and
/// marks them as sent. The full state is not sent during kDirectoryWarmUp,
/// because a subscriber would remove live members that have not sent a
/// heartbeat yet.
/// @return The delta; its list of services is empty when there is nothing to
/// send.
[[nodiscard]] DirectoryDelta CollectDelta(Subscriber& subscriber,
                                          const Directory& directory,
                                          Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_MEMBERSHIP_DIRECTORY_H_
