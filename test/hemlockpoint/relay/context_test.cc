#include "hemlockpoint/relay/context.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

const ServiceName kService("stock");

MemberEntry MakeMember(const char* node, const char* peer) {
  MemberEntry member;
  member.m_node = NodeId(node);
  member.m_incarnation = 1;
  member.m_peer = peer;
  member.m_target.m_service = kService;
  member.m_target.m_slots = 8;
  return member;
}

// The load: a machine loses power under load. Its link reports no error, and
// calls that are sent on it until the link counts as lost end with an unknown
// outcome.
TEST(RelayContext, SendsNoNewCallsToATargetBehindASilentLink) {
  FiberLoop loop;
  const ProtocolAdapter adapter{};
  RelayContext context(Settings(), adapter, loop);
  DirectoryDelta delta;
  delta.m_changed = {MakeMember("a", "10.0.0.1:70"),
                     MakeMember("b", "10.0.0.2:70")};
  (void)ApplyMembershipDelta(context, delta);
  const Millis now(5000);
  AvoidSilentTargets(context, {Endpoint{"10.0.0.1", 70}}, now);
  const TargetPeers& peers = context.m_targets_by_service[kService];
  for (const double random : {0.0, 0.4, 0.6, 0.99}) {
    EXPECT_EQ(ChooseTargetPeer(peers, {}, {}, random, now), NodeId("b"));
  }
  // Without another target it is still tried.
  EXPECT_EQ(ChooseTargetPeer(peers, {NodeId("b")}, {}, 0, now), NodeId("a"));
  // It is used again soon after it has replied.
  const Millis later = now + kSilentCheckPeriod * 3;
  EXPECT_EQ(ChooseTargetPeer(peers, {NodeId("b")}, {}, 0, later), NodeId("a"));
  EXPECT_LT(peers.at(NodeId("a")).m_avoid_until, later);
}

}  // namespace
}  // namespace hemlockpoint
