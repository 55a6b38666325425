#include "hemlockpoint/control/group_planner.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

constexpr Millis kNow(100'000);

void AddHeartbeat(HostHeartbeats& heard,
                  const std::string& instance,
                  const std::string& peer,
                  Millis when) {
  HostHeartbeat beat;
  beat.m_instance = instance;
  beat.m_peer = peer;
  heard[instance] = {beat, when};
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
  HostHeartbeats heard;
  for (const GroupMember& member : config.m_members) {
    AddHeartbeat(heard, member.m_instance, member.m_peer, kNow);
  }
  return heard;
}

TEST(GroupPlanner, DoesNotChangeACompleteGroup) {
  const GroupConfig config = MakeConfig({"a", "b", "c"});
  HostHeartbeats heard = HeartbeatsOfAllMembers(config);
  AddHeartbeat(heard, "d", "peer-d", kNow);
  EXPECT_FALSE(PlanGroupChange(config, heard, "a", 3, kNow));
}

TEST(GroupPlanner, ReplacesALostMemberInTwoChanges) {
  GroupConfig config = MakeConfig({"a", "b", "c"});
  HostHeartbeats heard = HeartbeatsOfAllMembers(config);
  heard.erase("c");
  AddHeartbeat(heard, "d", "peer-d", kNow);
  auto change = PlanGroupChange(config, heard, "a", 3, kNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_action + change->m_instance, "addd");
  config = change->m_config;
  // The learner has to catch up first.
  EXPECT_FALSE(PlanGroupChange(config, heard, "a", 3, kNow));
  config.m_members.back().m_is_voter = true;
  change = PlanGroupChange(config, heard, "a", 3, kNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_action + change->m_instance, "removec");
}

TEST(GroupPlanner, TreatsAHostWithANewInstanceAsANewMember) {
  const GroupConfig config = MakeConfig({"a", "b", "c"});
  HostHeartbeats heard = HeartbeatsOfAllMembers(config);
  // The beat of the former data is still fresh.
  AddHeartbeat(heard, "c2", "peer-c", kNow);
  const auto change = PlanGroupChange(config, heard, "a", 3, kNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_action + change->m_instance, "addc2");
}

TEST(GroupPlanner, KeepsALostMemberWithoutAReplacement) {
  const GroupConfig config = MakeConfig({"a", "b", "c"});
  HostHeartbeats heard = HeartbeatsOfAllMembers(config);
  heard.erase("c");
  EXPECT_FALSE(PlanGroupChange(config, heard, "a", 3, kNow));
}

TEST(GroupPlanner, GrowsToTheRequiredVoterCount) {
  const GroupConfig config = MakeConfig({"a", "b", "c"});
  HostHeartbeats heard = HeartbeatsOfAllMembers(config);
  AddHeartbeat(heard, "d", "peer-d", kNow);
  EXPECT_TRUE(PlanGroupChange(config, heard, "a", VoterCountFor(2), kNow));
}

TEST(GroupPlanner, IgnoresHostsOfAnotherGroup) {
  const GroupConfig config = MakeConfig({"a", "b", "c"});
  HostHeartbeats heard = HeartbeatsOfAllMembers(config);
  heard.erase("c");
  AddHeartbeat(heard, "d", "peer-d", kNow);
  heard["d"].m_heartbeat.m_group_id = "other";
  EXPECT_FALSE(PlanGroupChange(config, heard, "a", 3, kNow));
}

TEST(GroupPlanner, RemovesALostLearner) {
  GroupConfig config = MakeConfig({"a", "b", "c"});
  HostHeartbeats heard = HeartbeatsOfAllMembers(config);
  GroupMember learner;
  learner.m_instance = "d";
  learner.m_peer = "peer-d";
  config.m_members.push_back(learner);
  const auto change = PlanGroupChange(config, heard, "a", 3, kNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_action + change->m_instance, "removed");
}

}  // namespace
}  // namespace hemlockpoint
