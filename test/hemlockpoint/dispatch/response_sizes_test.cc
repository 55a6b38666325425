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

// One failure domain is overloaded and another one has free capacity. Calls
// whose responses are cheap to transfer must move to the other domain first.
TEST(ResponseSizes, ShortResponsesLeaveABusyFailureDomainBeforeLongOnes) {
  TargetPeers peers;
  for (const bool is_local : {true, false}) {
    TargetPeer peer;
    peer.m_member.m_node = NodeId(is_local ? "near" : "far");
    peer.m_same_domain = is_local;
    peer.m_load.m_limit = 50;
    peer.m_load.m_in_flight = is_local ? 60 : 10;
    peer.m_load.m_service_time = Millis(200);
    peer.m_load_time = Millis(0);
    peers[peer.m_member.m_node] = peer;
  }
  ChoiceCriteria criteria;
  criteria.m_typical_latency = Millis(150);
  criteria.m_objective_left = Millis(300);
  criteria.m_cost_per_kib = 0.02;
  criteria.m_bytes = 700;
  EXPECT_EQ(ChooseTargetPeer(peers, {}, criteria, 0, Millis(1))->value(),
            "far");
  criteria.m_bytes = 10 * 1024;
  EXPECT_EQ(ChooseTargetPeer(peers, {}, criteria, 0, Millis(1))->value(),
            "near");
}

}  // namespace
}  // namespace hemlockpoint
