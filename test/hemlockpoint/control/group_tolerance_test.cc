#include "hemlockpoint/control/group_tolerance.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

constexpr Millis kNow(100'000);

RaftState MakeLeader(const std::vector<std::string>& voters) {
  RaftState state;
  state.m_role = RaftRole::kLeader;
  state.m_instance = voters.front();
  for (const std::string& voter : voters) {
    GroupMember member;
    member.m_instance = voter;
    member.m_is_voter = true;
    state.m_config.m_config.m_members.push_back(member);
    state.m_peers[voter].m_acked_round_sent_at = kNow;
  }
  return state;
}

TEST(GroupTolerance, IsOneWithThreeLiveVoters) {
  EXPECT_EQ(AssessTolerance(MakeLeader({"a", "b", "c"}), kNow),
            (GroupTolerance{3, 3, 1}));
}

// Guards against a group that stops with its next loss and doesn't say so.
TEST(GroupTolerance, IsZeroUntilAWipedVoterIsRemoved) {
  RaftState state = MakeLeader({"a", "b", "c", "d"});
  state.m_peers.erase("b");
  EXPECT_EQ(AssessTolerance(state, kNow), (GroupTolerance{4, 3, 0}));
  auto& members = state.m_config.m_config.m_members;
  members.erase(members.begin() + 1);
  EXPECT_EQ(AssessTolerance(state, kNow), (GroupTolerance{3, 3, 1}));
}

TEST(GroupTolerance, CountsNeitherLearnersNorSilentVoters) {
  RaftState state = MakeLeader({"a", "b", "c"});
  state.m_config.m_config.m_members[1].m_is_voter = false;
  state.m_peers["c"].m_acked_round_sent_at = kNow - kCheckQuorumTimeout;
  EXPECT_EQ(AssessTolerance(state, kNow), (GroupTolerance{2, 1, 0}));
}

TEST(GroupTolerance, IsKnownToTheLeaderOnly) {
  RaftState state = MakeLeader({"a", "b", "c"});
  state.m_role = RaftRole::kFollower;
  EXPECT_EQ(AssessTolerance(state, kNow), GroupTolerance());
}

}  // namespace
}  // namespace hemlockpoint
