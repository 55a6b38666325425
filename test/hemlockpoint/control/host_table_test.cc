#include "hemlockpoint/control/host_table.h"

#include <gtest/gtest.h>

#include "support/simulated_group.h"

namespace hemlockpoint {
namespace {

constexpr Millis kRepairTime(8000);

Endpoint HostAt(int number) {
  return {"10.0.0." + std::to_string(number), 7000};
}

GroupMember MakeVoter(int number) {
  GroupMember member;
  member.m_instance = "h" + std::to_string(number);
  member.m_peer = ToText(HostAt(number));
  member.m_is_voter = true;
  return member;
}

RaftState MakeLeader() {
  RaftState raft;
  raft.m_instance = "h1";
  raft.m_leader = "h1";
  raft.m_role = RaftRole::kLeader;
  raft.m_config.m_config.m_members = {MakeVoter(1), MakeVoter(4), MakeVoter(5)};
  return raft;
}

HostTable MakeTable() {
  HostTable table;
  SetSeeds(table.m_hosts, {HostAt(1), HostAt(2), HostAt(3)}, Millis(0));
  return table;
}

void ReceiveHeartbeat(HostTable& table,
                      const RaftState& raft,
                      int number,
                      Millis now) {
  HostHeartbeat heartbeat;
  heartbeat.m_instance = "h" + std::to_string(number);
  heartbeat.m_peer = ToText(HostAt(number));
  RecordHostHeartbeat(table, raft, heartbeat, now);
}

TEST(HostTable, ALeaderTellsTheSeedsAndMembersThatItDoesNotHear) {
  const RaftState raft = MakeLeader();
  HostTable table = MakeTable();
  FollowLeadership(table, raft, Millis(0));
  // Members count as heard at the election.
  EXPECT_EQ(AnnouncementReceivers(table, raft, HostAt(1), Millis(500)),
            (std::vector<Endpoint>{HostAt(2), HostAt(3)}));
  ReceiveHeartbeat(table, raft, 2, Millis(900));
  ReceiveHeartbeat(table, raft, 4, Millis(900));
  EXPECT_EQ(AnnouncementReceivers(table, raft, HostAt(1), Millis(1500)),
            (std::vector<Endpoint>{HostAt(3), HostAt(5)}));
  EXPECT_TRUE(
      HostHeartbeatReceivers(table, raft, HostAt(1), Millis(1500)).empty());
}

TEST(HostTable, AHostWithoutALeaderAsksTheSeedsAndTheMembersThatItKnows) {
  RaftState raft = MakeLeader();
  raft.m_role = RaftRole::kFollower;
  raft.m_leader.clear();
  HostTable table = MakeTable();
  EXPECT_EQ(
      HostHeartbeatReceivers(table, raft, HostAt(1), Millis(500)),
      (std::vector<Endpoint>{HostAt(2), HostAt(3), HostAt(4), HostAt(5)}));
  EXPECT_TRUE(
      AnnouncementReceivers(table, raft, HostAt(1), Millis(500)).empty());
}

// Guards against hosts that never find the leader, and so take no lost member's
// place, because all of their seeds are outside the group.
TEST(HostTable, HostsFindTheLeaderAlthoughNoSeedIsAMember) {
  SimulatedGroup group(6, 3, 1);
  group.Run(Millis(3000));
  for (HostNumber seed = 0; seed < 3; ++seed) {
    group.Kill(seed);
    group.Run(kRepairTime);
  }
  for (HostNumber seed = 0; seed < 3; ++seed) {
    group.LoseDisk(seed);
    group.Start(seed);
  }
  group.Run(kRepairTime);
  ASSERT_TRUE(group.Leader());
  ASSERT_GE(*group.Leader(), 3U);
  for (HostNumber seed = 0; seed < 3; ++seed) {
    EXPECT_TRUE(FindHeardLeader(group.hosts()[seed].m_table, group.now()))
        << seed;
  }
  // One of them takes the place of a member that is lost.
  group.Kill(*group.Leader());
  group.Run(kRepairTime);
  EXPECT_EQ(group.ToleratedLosses(), 1U);
}

// Guards against a host outside the group that finds no leader, and so takes no
// lost member's place, because all of its seeds are gone.
TEST(HostTable, AHostFindsTheNextLeaderAlthoughAllSeedsAreGone) {
  constexpr HostNumber kOutside = 6;
  SimulatedGroup group(7, 3, 1);
  group.Run(Millis(3000));
  for (HostNumber seed = 0; seed < 3; ++seed) {
    group.Kill(seed);
    group.Run(kRepairTime);
  }
  ASSERT_TRUE(group.Leader());
  ASSERT_FALSE(IsInGroup(group.hosts()[kOutside].m_raft));
  group.Kill(*group.Leader());
  group.Run(kRepairTime);
  EXPECT_TRUE(IsInGroup(group.hosts()[kOutside].m_raft));
}

}  // namespace
}  // namespace hemlockpoint
