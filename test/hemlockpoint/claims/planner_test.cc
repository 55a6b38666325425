#include "hemlockpoint/claims/planner.h"

#include <gtest/gtest.h>

#include <set>

namespace hemlockpoint {
namespace {

std::vector<ReplicaCandidate> MakeNodes(int count) {
  std::vector<ReplicaCandidate> nodes;
  for (int i = 0; i < count; ++i) {
    nodes.push_back({NodeId("n" + std::to_string(i)), 7, "peer",
                     "fd" + std::to_string(i % 3), ServiceName("sales"),
                     false});
  }
  return nodes;
}

ClaimReplicaSet MakeEmptySet() {
  ClaimReplicaSet set;
  set.m_service = ServiceName("sales");
  return set;
}

TEST(ClaimPlanner, SpreadsInitialSetOverFailureDomains) {
  const auto set = PlanClaimSet(MakeEmptySet(), MakeNodes(4), {});
  ASSERT_TRUE(set);
  EXPECT_EQ(set->m_epoch, 1U);
  ASSERT_EQ(set->m_members.size(), 3U);
  std::set<std::string> domains;
  for (const ClaimReplicaInfo& member : set->m_members) {
    domains.insert("fd" + std::to_string((member.m_node.value()[1] - '0') % 3));
    EXPECT_EQ(member.m_founding_incarnation, 7U);
  }
  EXPECT_EQ(domains.size(), 3U);
}

TEST(ClaimPlanner, KeepsSetDuringShortDowntime) {
  const auto set = PlanClaimSet(MakeEmptySet(), MakeNodes(4), {});
  EXPECT_FALSE(PlanClaimSet(*set, MakeNodes(4),
                            {{set->m_members[0].m_node, Millis(5000)}}));
}

TEST(ClaimPlanner, ReplacesOneReplicaAtATime) {
  const auto set = PlanClaimSet(MakeEmptySet(), MakeNodes(8), {});
  ASSERT_EQ(set->m_members.size(), 5U);
  const DowntimeByNode downtimes = {{set->m_members[0].m_node, Millis(20'000)},
                                    {set->m_members[1].m_node, Millis(20'000)}};
  const auto next = PlanClaimSet(*set, MakeNodes(8), downtimes);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->m_epoch, 2U);
  EXPECT_NE(next->m_members[0].m_node, set->m_members[0].m_node);
  EXPECT_EQ(next->m_members[1].m_node, set->m_members[1].m_node);
  EXPECT_EQ(next->m_members[0].m_joined_epoch, 2U);
  EXPECT_EQ(next->m_members[0].m_founding_incarnation, 0U);
}

TEST(ClaimPlanner, LostMajorityStartsFreshSet) {
  const auto set = PlanClaimSet(MakeEmptySet(), MakeNodes(4), {});
  DowntimeByNode downtimes;
  downtimes[set->m_members[0].m_node] = Millis(20'000);
  downtimes[set->m_members[1].m_node] = Millis(20'000);
  const auto next = PlanClaimSet(*set, MakeNodes(4), downtimes);
  ASSERT_TRUE(next);
  EXPECT_TRUE(next->m_previous_majority_lost);
}

}  // namespace
}  // namespace hemlockpoint
