#include "hemlockpoint/dispatch/target_choice.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

constexpr Millis kNow(10'000);

TargetPeer MakePeer(const char* node, bool same_domain) {
  TargetPeer peer;
  peer.m_member.m_node = NodeId(node);
  peer.m_member.m_target.m_slots = 10;
  peer.m_same_domain = same_domain;
  peer.m_load.m_limit = 10;
  peer.m_load.m_service_time = Millis(100);
  peer.m_load_time = kNow;
  return peer;
}

TargetPeers MakePeers() {
  TargetPeers peers;
  peers[NodeId("near")] = MakePeer("near", true);
  peers[NodeId("far")] = MakePeer("far", false);
  return peers;
}

ChoiceCriteria MakeCriteria() {
  ChoiceCriteria criteria;
  criteria.m_typical_latency = Millis(100);
  criteria.m_objective_left = Millis(1000);
  criteria.m_bytes = 2048;
  criteria.m_cost_per_kib = 0.02;
  return criteria;
}

std::string ChooseNode(const TargetPeers& peers,
                       const ChoiceCriteria& criteria) {
  const auto node = ChooseTargetPeer(peers, {}, criteria, 0.5, kNow);
  return node ? node->value() : "";
}

TEST(TargetChoice, StaysInItsFailureDomainWhileInTime) {
  TargetPeers peers = MakePeers();
  peers[NodeId("near")].m_slowness = 3;
  EXPECT_EQ(ChooseNode(peers, MakeCriteria()), "near");
}

TEST(TargetChoice, LeavesAFailureDomainWhoseQueueIsTooLong) {
  TargetPeers peers = MakePeers();
  peers[NodeId("near")].m_load.m_in_flight = 10;
  peers[NodeId("near")].m_load.m_queued = 100;
  EXPECT_EQ(ChooseNode(peers, MakeCriteria()), "far");
}

TEST(TargetChoice, LongBodiesLeaveAFailureDomainOnlyWhenNoTargetIsLeft) {
  TargetPeers peers = MakePeers();
  ChoiceCriteria criteria = MakeCriteria();
  criteria.m_bytes = 60'000;
  peers[NodeId("near")].m_slowness = 8;
  EXPECT_EQ(ChooseNode(peers, criteria), "near");
  peers[NodeId("near")].m_member.m_target.m_leaving = true;
  EXPECT_EQ(ChooseNode(peers, criteria), "far");
}

TEST(TargetChoice, UsesTheLatencyOfTheRouteNotTheMeanOfTheTarget) {
  TargetPeers peers = MakePeers();
  // The mean service time of the target is that of long calls. The route of
  // this call is a short one.
  peers[NodeId("near")].m_load.m_service_time = Millis(900);
  ChoiceCriteria criteria = MakeCriteria();
  criteria.m_typical_latency = Millis(40);
  criteria.m_objective_left = Millis(300);
  EXPECT_EQ(ChooseNode(peers, criteria), "near");
}

TEST(TargetChoice, AHighLatencyWeightOutweighsTheCrossDomainCost) {
  TargetPeers peers = MakePeers();
  peers[NodeId("near")].m_slowness = 2.5;
  ChoiceCriteria criteria = MakeCriteria();
  criteria.m_latency_weight = 1;
  EXPECT_EQ(ChooseNode(peers, criteria), "far");
}

TEST(TargetChoice, AvoidsTargetsWithAHighFailureRate) {
  TargetPeers peers = MakePeers();
  for (int i = 0; i < 20; ++i) {
    RecordTargetOutcome(peers[NodeId("near")], Millis(100), Millis(100), true);
  }
  EXPECT_EQ(ChooseNode(peers, MakeCriteria()), "far");
}

TEST(TargetChoice, ChoosesAnAvoidedTargetWhenThereIsNoOther) {
  TargetPeers peers = MakePeers();
  peers[NodeId("near")].m_avoid_until = kNow + Millis(100);
  EXPECT_EQ(ChooseNode(peers, MakeCriteria()), "far");
  peers.erase(NodeId("far"));
  EXPECT_EQ(ChooseNode(peers, MakeCriteria()), "near");
}

}  // namespace
}  // namespace hemlockpoint
