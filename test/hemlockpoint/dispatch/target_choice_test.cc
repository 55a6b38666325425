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

ChoiceTerms MakeTerms() {
  ChoiceTerms terms;
  terms.m_typical = Millis(100);
  terms.m_objective_left = Millis(1000);
  terms.m_bytes = 2048;
  terms.m_cost_per_kib = 0.02;
  return terms;
}

std::string Chosen(const TargetPeers& peers, const ChoiceTerms& terms) {
  const auto node = ChooseTargetPeer(peers, {}, terms, 0.5, kNow);
  return node ? node->value() : "";
}

TEST(TargetChoice, StaysInItsDomainWhileThatIsInTime) {
  TargetPeers peers = MakePeers();
  peers[NodeId("near")].m_slowness = 3;
  EXPECT_EQ(Chosen(peers, MakeTerms()), "near");
}

TEST(TargetChoice, LeavesADomainWhoseQueueIsTooLong) {
  TargetPeers peers = MakePeers();
  peers[NodeId("near")].m_load.m_in_flight = 10;
  peers[NodeId("near")].m_load.m_queued = 100;
  EXPECT_EQ(Chosen(peers, MakeTerms()), "far");
}

TEST(TargetChoice, LongBodiesStayUnlessNothingNearIsLeft) {
  TargetPeers peers = MakePeers();
  ChoiceTerms terms = MakeTerms();
  terms.m_bytes = 60'000;
  peers[NodeId("near")].m_slowness = 8;
  EXPECT_EQ(Chosen(peers, terms), "near");
  peers[NodeId("near")].m_member.m_target.m_leaving = true;
  EXPECT_EQ(Chosen(peers, terms), "far");
}

TEST(TargetChoice, ShortCallsDontLookSlowBesideLongOnes) {
  TargetPeers peers = MakePeers();
  // The target's mean is that of long work; the route is short.
  peers[NodeId("near")].m_load.m_service_time = Millis(900);
  ChoiceTerms terms = MakeTerms();
  terms.m_typical = Millis(40);
  terms.m_objective_left = Millis(300);
  EXPECT_EQ(Chosen(peers, terms), "near");
}

TEST(TargetChoice, TimeOutweighsBytesUnderPressure) {
  TargetPeers peers = MakePeers();
  peers[NodeId("near")].m_slowness = 2.5;
  ChoiceTerms terms = MakeTerms();
  terms.m_time_weight = 1;
  EXPECT_EQ(Chosen(peers, terms), "far");
}

TEST(TargetChoice, PassesOverTargetsThatFailMoreThanUsual) {
  TargetPeers peers = MakePeers();
  for (int i = 0; i < 20; ++i) {
    RecordTargetOutcome(peers[NodeId("near")], Millis(100), Millis(100), true);
  }
  EXPECT_EQ(Chosen(peers, MakeTerms()), "far");
}

TEST(TargetChoice, TakesAnAvoidedTargetWhenThereIsNoOther) {
  TargetPeers peers = MakePeers();
  peers[NodeId("near")].m_avoid_until = kNow + Millis(100);
  EXPECT_EQ(Chosen(peers, MakeTerms()), "far");
  peers.erase(NodeId("far"));
  EXPECT_EQ(Chosen(peers, MakeTerms()), "near");
}

}  // namespace
}  // namespace hemlockpoint
