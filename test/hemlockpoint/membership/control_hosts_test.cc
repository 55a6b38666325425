#include "hemlockpoint/membership/control_hosts.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

const Endpoint kHostA{"10.0.0.1", 1};
const Endpoint kHostB{"10.0.0.2", 1};

TEST(ControlHosts, CyclesThroughHostsWhileNoneAnswers) {
  ControlHosts hosts;
  SetSeeds(hosts, {kHostA, kHostB}, Millis(0));
  EXPECT_EQ(hosts.m_current, kHostA);
  EXPECT_FALSE(IsCurrentHostSilent(hosts, Millis(500)));
  EXPECT_TRUE(IsCurrentHostSilent(hosts, Millis(1300)));
  SelectNextHost(hosts, Millis(1300));
  EXPECT_EQ(hosts.m_current, kHostB);
  SelectNextHost(hosts, Millis(2600));
  EXPECT_EQ(hosts.m_current, kHostA);
}

TEST(ControlHosts, FollowsLeaderHintAndLearnsHosts) {
  ControlHosts hosts;
  SetSeeds(hosts, {kHostA}, Millis(0));
  HeartbeatAck ack;
  ack.m_leader = "10.0.0.9:1";
  ack.m_hosts = {"10.0.0.9:1", "10.0.0.8:1", "nonsense"};
  // False: the sender is not a leader with a recent quorum ack.
  EXPECT_FALSE(HandleHeartbeatAck(hosts, ack, Millis(10)));
  EXPECT_EQ(hosts.m_current.m_address, "10.0.0.9");
  EXPECT_EQ(hosts.m_learned_hosts.size(), 2U);
}

TEST(ControlHosts, RejectsLeaderWithStaleQuorumAck) {
  ControlHosts hosts;
  SetSeeds(hosts, {kHostA}, Millis(0));
  HeartbeatAck ack;
  ack.m_is_leader = true;
  ack.m_quorum_ack_age = Millis(2500);
  EXPECT_FALSE(HandleHeartbeatAck(hosts, ack, Millis(10)));
  ack.m_quorum_ack_age = Millis(100);
  EXPECT_TRUE(HandleHeartbeatAck(hosts, ack, Millis(10)));
  // The quorum ack is 100 ms old at 10 ms and counts for kMaxQuorumAckAge.
  EXPECT_TRUE(HasLeader(hosts, Millis(1000)));
  EXPECT_FALSE(HasLeader(hosts, Millis(3000)));
}

}  // namespace
}  // namespace hemlockpoint
