#include "hemlockpoint/dispatch/response_sizes.h"

#include <gtest/gtest.h>

#include "hemlockpoint/dispatch/target_choice.h"

namespace hemlockpoint {
namespace {

TEST(ResponseSizes, FollowTheSizesOfARoute) {
  ResponseSizes sizes;
  EXPECT_EQ(ExpectedResponseSize(sizes, "prices"), kDefaultResponseBytes);
  RecordResponseSize(sizes, "prices", 5000);
  EXPECT_EQ(ExpectedResponseSize(sizes, "prices"), 5000);
  for (int i = 0; i < 200; ++i) {
    RecordResponseSize(sizes, "prices", 300);
  }
  EXPECT_NEAR(ExpectedResponseSize(sizes, "prices"), 300, 10);
}

// A crest at one failure domain while another has room: what is cheap to
// bring over goes there first.
TEST(ResponseSizes, ShortResponsesLeaveABusyFailureDomainBeforeLongOnes) {
  TargetPeers peers;
  for (const bool near : {true, false}) {
    TargetPeer peer;
    peer.m_member.m_node = NodeId(near ? "near" : "far");
    peer.m_same_domain = near;
    peer.m_load.m_limit = 50;
    peer.m_load.m_in_flight = near ? 60 : 10;
    peer.m_load.m_service_time = Millis(200);
    peer.m_load_time = Millis(0);
    peers[peer.m_member.m_node] = peer;
  }
  ChoiceCriteria terms;
  terms.m_typical_latency = Millis(150);
  terms.m_objective_left = Millis(300);
  terms.m_cost_per_kib = 0.02;
  terms.m_bytes = 700;
  EXPECT_EQ(ChooseTargetPeer(peers, {}, terms, 0, Millis(1))->value(), "far");
  terms.m_bytes = 10 * 1024;
  EXPECT_EQ(ChooseTargetPeer(peers, {}, terms, 0, Millis(1))->value(), "near");
}

}  // namespace
}  // namespace hemlockpoint
