#include "hemlockpoint/control/group_plan.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

constexpr Millis kNow(100'000);

void Hear(HeardHosts& heard,
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

HeardHosts HearAll(const GroupConfig& config) {
  HeardHosts heard;
  for (const GroupMember& member : config.m_members) {
    Hear(heard, member.m_instance, member.m_peer, kNow);
  }
  return heard;
}

TEST(GroupPlan, LeavesAWholeGroupAlone) {
  const GroupConfig config = MakeConfig({"a", "b", "c"});
  HeardHosts heard = HearAll(config);
  Hear(heard, "d", "peer-d", kNow);
  EXPECT_FALSE(PlanGroup(config, heard, "a", 3, kNow));
}

TEST(GroupPlan, AddsAHostForALostOneAndThenRemovesIt) {
  GroupConfig config = MakeConfig({"a", "b", "c"});
  HeardHosts heard = HearAll(config);
  heard.erase("c");
  Hear(heard, "d", "peer-d", kNow);
  auto change = PlanGroup(config, heard, "a", 3, kNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_action + change->m_instance, "addd");
  config = change->m_config;
  // The learner has to catch up first.
  EXPECT_FALSE(PlanGroup(config, heard, "a", 3, kNow));
  config.m_members.back().m_is_voter = true;
  change = PlanGroup(config, heard, "a", 3, kNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_action + change->m_instance, "removec");
}

TEST(GroupPlan, AHostWithANewDiskIsAnotherMember) {
  const GroupConfig config = MakeConfig({"a", "b", "c"});
  HeardHosts heard = HearAll(config);
  // The beat of the former data is still fresh.
  Hear(heard, "c2", "peer-c", kNow);
  const auto change = PlanGroup(config, heard, "a", 3, kNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_action + change->m_instance, "addc2");
}

TEST(GroupPlan, NeverFallsBelowItsSizeWithoutAReplacement) {
  const GroupConfig config = MakeConfig({"a", "b", "c"});
  HeardHosts heard = HearAll(config);
  heard.erase("c");
  EXPECT_FALSE(PlanGroup(config, heard, "a", 3, kNow));
}

TEST(GroupPlan, GrowsToTheSizeThatBearsItsLosses) {
  const GroupConfig config = MakeConfig({"a", "b", "c"});
  HeardHosts heard = HearAll(config);
  Hear(heard, "d", "peer-d", kNow);
  EXPECT_TRUE(PlanGroup(config, heard, "a", VotersFor(2), kNow));
}

TEST(GroupPlan, TakesNoHostOfAnotherGroup) {
  const GroupConfig config = MakeConfig({"a", "b", "c"});
  HeardHosts heard = HearAll(config);
  heard.erase("c");
  Hear(heard, "d", "peer-d", kNow);
  heard["d"].m_beat.m_group_id = "other";
  EXPECT_FALSE(PlanGroup(config, heard, "a", 3, kNow));
}

TEST(GroupPlan, MakesRoomWhenALearnerIsLost) {
  GroupConfig config = MakeConfig({"a", "b", "c"});
  HeardHosts heard = HearAll(config);
  GroupMember learner;
  learner.m_instance = "d";
  learner.m_peer = "peer-d";
  config.m_members.push_back(learner);
  const auto change = PlanGroup(config, heard, "a", 3, kNow);
  ASSERT_TRUE(change);
  EXPECT_EQ(change->m_action + change->m_instance, "removed");
}

}  // namespace
}  // namespace hemlockpoint
