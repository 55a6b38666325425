#include "hemlockpoint/control/group_planner.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

constexpr Millis kNow(100'000);

void AddHeartbeat(HostHeartbeats& heartbeats,
                  const std::string& instance,
                  const std::string& peer,
                  Millis received_at) {
  HostHeartbeat heartbeat;
  heartbeat.m_instance = instance;
  heartbeat.m_peer = peer;
  heartbeats[instance] = {heartbeat, received_at};
}

GroupConfig MakeConfig(const std::vector<std::string>& voters) {
  GroupConfig config;
  config.m_group_id = "g";
  for (const std::string& voter : voters) {
    GroupMember member;
    member.m_instance = voter;
    member.m_peer = "peer-" + voter;
    member.m_is_voter = true;
    config.m_members.push_back(member);
  }
  return config;
}

HostHeartbeats HeartbeatsOfAllMembers(const GroupConfig& config) {
  HostHeartbeats heartbeats;
  for (const GroupMember& member : config.m_members) {
    AddHeartbeat(heartbeats, member.m_instance, member.m_peer, kNow);
  }
  return heartbeats;
}

TEST(GroupPlanner, DoesNotChangeACompleteGroup) {
  const GroupConfig config = MakeConfig({"a", "b", "c"});
  HostHeartbeats heartbeats = HeartbeatsOfAllMembers(config);
  AddHeartbeat(heartbeats, "d", "peer-d", kNow);
  EXPECT_FALSE(PlanGroupChange(config, heartbeats, "a", 3, kNow));
}

TEST(GroupPlanner, ReplacesALostMemberInTwoChanges) {
  GroupConfig config = MakeConfig({"a", "b", "c"});
  HostHeartbeats heartbeats = HeartbeatsOfAllMembers(config);
  heartbeats.erase("c");
  AddHeartbeat(heartbeats, "d", "peer-d", kNow);
  auto change = PlanGroupChange(config, heartbeats, "a", 3, kNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_action + change->m_instance, "addd");
  config = change->m_config;
  // Nothing is removed before the learner has become a voter.
  EXPECT_FALSE(PlanGroupChange(config, heartbeats, "a", 3, kNow));
  config.m_members.back().m_is_voter = true;
  change = PlanGroupChange(config, heartbeats, "a", 3, kNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_action + change->m_instance, "removec");
}

// Guards against a group that stops at the loss of a second disk: as long as a
// wiped voter counts, its replacement raises the majority to all other voters.
TEST(GroupPlanner, RemovesAWipedMemberBeforeItAddsAnother) {
  GroupConfig config = MakeConfig({"a", "b", "c"});
  HostHeartbeats heartbeats = HeartbeatsOfAllMembers(config);
  // The heartbeat of the former instance is still recent.
  AddHeartbeat(heartbeats, "c", "peer-c", kNow - Millis(100));
  AddHeartbeat(heartbeats, "c2", "peer-c", kNow);
  auto change = PlanGroupChange(config, heartbeats, "a", 3, kNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_action + change->m_instance, "removec");
  change = PlanGroupChange(change->m_config, heartbeats, "a", 3, kNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_action + change->m_instance, "addc2");
  change->m_config.m_members.back().m_is_voter = true;
  EXPECT_FALSE(PlanGroupChange(change->m_config, heartbeats, "a", 3, kNow));
}

// Guards against a new member that is removed since its host's former instance
// was heard a moment ago.
TEST(GroupPlanner, KeepsANewMemberWhoseFormerInstanceWasHeardRecently) {
  GroupConfig config = MakeConfig({"a", "b", "c2"});
  config.m_members.back().m_peer = "peer-c";
  HostHeartbeats heartbeats = HeartbeatsOfAllMembers(config);
  AddHeartbeat(heartbeats, "c", "peer-c", kNow - Millis(100));
  AddHeartbeat(heartbeats, "d", "peer-d", kNow);
  EXPECT_FALSE(PlanGroupChange(config, heartbeats, "a", 3, kNow));
}

TEST(GroupPlanner, DoesNotAddAnInstanceThatWasWiped) {
  const GroupConfig config = MakeConfig({"a", "b"});
  HostHeartbeats heartbeats = HeartbeatsOfAllMembers(config);
  AddHeartbeat(heartbeats, "c1", "peer-c", kNow - Millis(100));
  AddHeartbeat(heartbeats, "c2", "peer-c", kNow);
  const auto change = PlanGroupChange(config, heartbeats, "a", 3, kNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_instance, "c2");
}

// A host that was started without its disk has its data again.
TEST(GroupPlanner, KeepsAMemberThatReturnsWithItsData) {
  const GroupConfig config = MakeConfig({"a", "b", "c"});
  HostHeartbeats heartbeats = HeartbeatsOfAllMembers(config);
  AddHeartbeat(heartbeats, "c2", "peer-c", kNow - Millis(100));
  EXPECT_FALSE(PlanGroupChange(config, heartbeats, "a", 3, kNow));
}

TEST(GroupPlanner, KeepsALostMemberWithoutAReplacement) {
  const GroupConfig config = MakeConfig({"a", "b", "c"});
  HostHeartbeats heartbeats = HeartbeatsOfAllMembers(config);
  heartbeats.erase("c");
  EXPECT_FALSE(PlanGroupChange(config, heartbeats, "a", 3, kNow));
}

TEST(GroupPlanner, GrowsToTheRequiredVoterCount) {
  const GroupConfig config = MakeConfig({"a", "b", "c"});
  HostHeartbeats heartbeats = HeartbeatsOfAllMembers(config);
  AddHeartbeat(heartbeats, "d", "peer-d", kNow);
  EXPECT_TRUE(PlanGroupChange(config, heartbeats, "a", VoterCountFor(2), kNow));
}

TEST(GroupPlanner, IgnoresHostsOfAnotherGroup) {
  const GroupConfig config = MakeConfig({"a", "b", "c"});
  HostHeartbeats heartbeats = HeartbeatsOfAllMembers(config);
  heartbeats.erase("c");
  AddHeartbeat(heartbeats, "d", "peer-d", kNow);
  heartbeats["d"].m_heartbeat.m_group_id = "other";
  EXPECT_FALSE(PlanGroupChange(config, heartbeats, "a", 3, kNow));
}

TEST(GroupPlanner, RemovesALostLearner) {
  GroupConfig config = MakeConfig({"a", "b", "c"});
  HostHeartbeats heartbeats = HeartbeatsOfAllMembers(config);
  GroupMember learner;
  learner.m_instance = "d";
  learner.m_peer = "peer-d";
  config.m_members.push_back(learner);
  const auto change = PlanGroupChange(config, heartbeats, "a", 3, kNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_action + change->m_instance, "removed");
}

}  // namespace
}  // namespace hemlockpoint
