#ifndef HEMLOCKPOINT_CONTROL_GROUP_TOLERANCE_H_
#define HEMLOCKPOINT_CONTROL_GROUP_TOLERANCE_H_

#include <cstddef>

#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/consensus/raft.h"

namespace hemlockpoint {

/// @brief How many further voters the group can lose before it stops.
struct GroupTolerance {
  std::size_t m_voters = 0;
  /// Voters that have acknowledged the leader within kCheckQuorumTimeout.
  std::size_t m_live_voters = 0;
  /// Live voters beyond a majority of all voters.
  std::size_t m_losses = 0;
};

[[nodiscard]] constexpr bool operator==(const GroupTolerance& a,
                                        const GroupTolerance& b) {
  return a.m_voters == b.m_voters && a.m_live_voters == b.m_live_voters &&
         a.m_losses == b.m_losses;
}

/// @return The tolerance as the leader sees it; zeros on another member.
[[nodiscard]] GroupTolerance AssessTolerance(const RaftState& state,
                                             Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_GROUP_TOLERANCE_H_
