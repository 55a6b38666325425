#ifndef HEMLOCKPOINT_MEMBERSHIP_MEMBER_VIEW_H_
#define HEMLOCKPOINT_MEMBERSHIP_MEMBER_VIEW_H_

#include <map>
#include <vector>

#include "hemlockpoint/routing/balancer.h"
#include "hemlockpoint/wire/membership_messages.h"

namespace hemlockpoint {

/// @brief Applies a directory delta to a node's view of the members and to the
/// targets that it balances load over.
/// @param members Members by node.
/// @param services Targets by service.
/// @return Peer endpoints of members that are gone or have restarted. Links to
/// them are stale.
[[nodiscard]] std::vector<std::string> MergeDirectoryDelta(
    std::map<NodeId, MemberEntry>& members,
    std::map<ServiceName, Balancer>& services,
    const DirectoryDelta& delta,
    Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_MEMBERSHIP_MEMBER_VIEW_H_
