#include "hemlockpoint/control/group_tolerance.h"

namespace hemlockpoint {

GroupTolerance AssessTolerance(const RaftState& state, Millis now) {
  GroupTolerance tolerance;
  if (state.m_role != RaftRole::kLeader) {
    return tolerance;
  }
  for (const GroupMember& member : state.m_config.m_config.m_members) {
    if (!member.m_is_voter) {
      continue;
    }
    ++tolerance.m_voters;
    const auto peer = state.m_peers.find(member.m_instance);
    const bool is_live =
        member.m_instance == state.m_instance ||
        (peer != state.m_peers.end() &&
         now - peer->second.m_acked_round_sent_at < kCheckQuorumTimeout);
    tolerance.m_live_voters += is_live ? 1 : 0;
  }
  const std::size_t majority = tolerance.m_voters / 2 + 1;
  if (tolerance.m_live_voters > majority) {
    tolerance.m_losses = tolerance.m_live_voters - majority;
  }
  return tolerance;
}

}  // namespace hemlockpoint
