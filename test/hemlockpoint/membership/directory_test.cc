#include "hemlockpoint/membership/directory.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

const ServiceName kStock("stock");
constexpr Millis kAfterWarmUp(10'000);

MemberEntry MakeMember(const std::string& name,
                       const std::string& service = "stock",
                       std::uint64_t incarnation = 1) {
  MemberEntry member;
  member.m_node = NodeId(name);
  member.m_incarnation = incarnation;
  member.m_peer = "127.0.0.1:1";
  member.m_target.m_service = ServiceName(service);
  return member;
}

Heartbeat MakeSubscription(const Directory& directory,
                           const ServiceName& service) {
  Heartbeat heartbeat;
  heartbeat.m_interests = {service};
  heartbeat.m_directory_origin = directory.m_origin;
  return heartbeat;
}

Directory MakeDirectory() {
  // Any origin will do, since MakeSubscription() repeats it.
  return StartDirectory("c1-1", Millis(0));
}

TEST(Directory, SendsOnlyMembersOfSubscribedServices) {
  Directory directory = MakeDirectory();
  RenewMember(directory, MakeMember("a"), kAfterWarmUp);
  RenewMember(directory, MakeMember("b", "photos"), kAfterWarmUp);
  Subscriber subscriber;
  UpdateInterests(subscriber, directory, MakeSubscription(directory, kStock));
  const auto delta = CollectDelta(subscriber, directory, kAfterWarmUp);
  ASSERT_EQ(delta.m_changed.size(), 1U);
  EXPECT_EQ(delta.m_changed[0].m_node, NodeId("a"));
  // An empty list of services means that there is nothing to send.
  EXPECT_TRUE(
      CollectDelta(subscriber, directory, kAfterWarmUp).m_services.empty());
}

TEST(Directory, SendsOnlyChanges) {
  Directory directory = MakeDirectory();
  for (int i = 0; i < 10; ++i) {
    RenewMember(directory, MakeMember("n" + std::to_string(i)), kAfterWarmUp);
  }
  Subscriber subscriber;
  UpdateInterests(subscriber, directory, MakeSubscription(directory, kStock));
  EXPECT_EQ(CollectDelta(subscriber, directory, kAfterWarmUp).m_changed.size(),
            10U);
  MemberEntry leaving = MakeMember("n3");
  leaving.m_target.m_leaving = true;
  EXPECT_TRUE(RenewMember(directory, leaving, kAfterWarmUp));
  EXPECT_FALSE(RenewMember(directory, leaving, kAfterWarmUp));
  EXPECT_EQ(CollectDelta(subscriber, directory, kAfterWarmUp).m_changed.size(),
            1U);
}

// The address of the target was given to another service, or the node no longer
// knows its target. Calls of the former service must not be sent there.
TEST(Directory, TellsSubscribersThatAMemberHasLeftTheirService) {
  Directory directory = MakeDirectory();
  RenewMember(directory, MakeMember("a"), kAfterWarmUp);
  Subscriber subscriber;
  UpdateInterests(subscriber, directory, MakeSubscription(directory, kStock));
  ASSERT_EQ(CollectDelta(subscriber, directory, kAfterWarmUp).m_changed.size(),
            1U);
  RenewMember(directory, MakeMember("a", ""), kAfterWarmUp);
  RenewMember(directory, MakeMember("a", "photos"), kAfterWarmUp);
  const auto left = CollectDelta(subscriber, directory, kAfterWarmUp);
  EXPECT_EQ(left.m_gone, std::vector<NodeId>{NodeId("a")});
  EXPECT_TRUE(left.m_changed.empty());
  RenewMember(directory, MakeMember("a"), kAfterWarmUp);
  const auto back = CollectDelta(subscriber, directory, kAfterWarmUp);
  EXPECT_EQ(back.m_changed.size(), 1U);
  EXPECT_TRUE(back.m_gone.empty());
}

TEST(Directory, MarksSilentMemberGoneWithinThreeSeconds) {
  Directory directory = MakeDirectory();
  RenewMember(directory, MakeMember("a"), Millis(0));
  EXPECT_TRUE(ExpireMembers(directory, kMemberLease).empty());
  EXPECT_EQ(ExpireMembers(directory, Millis(3000)).size(), 1U);
}

// The leader's process was paused for longer than a lease. Heartbeats that came
// meanwhile are still unread, so the silence says nothing about the nodes.
TEST(Directory, KeepsLiveMembersAfterAStallOfTheLeader) {
  Directory directory = MakeDirectory();
  RenewMember(directory, MakeMember("a"), Millis(0));
  EXPECT_TRUE(ExpireMembers(directory, Millis(100)).empty());
  const Millis resumed = Millis(100) + kMemberLease * 2;
  EXPECT_TRUE(ExpireMembers(directory, resumed).empty());
  Subscriber subscriber;
  UpdateInterests(subscriber, directory, MakeSubscription(directory, kStock));
  EXPECT_EQ(CollectDelta(subscriber, directory, resumed).m_changed.size(), 1U);
}

// The time of a stall doesn't count, but the silence before and after it does.
TEST(Directory, MarksMemberGoneThatStaysSilentAfterAStall) {
  Directory directory = MakeDirectory();
  RenewMember(directory, MakeMember("a"), Millis(0));
  EXPECT_TRUE(ExpireMembers(directory, Millis(500)).empty());
  constexpr Millis kResumed(20'000);
  std::vector<NodeId> gone;
  for (Millis now = kResumed; now <= kResumed + kMemberLease;
       now = now + Millis(100)) {
    for (const NodeId& node : ExpireMembers(directory, now)) {
      gone.push_back(node);
    }
  }
  EXPECT_EQ(gone, std::vector<NodeId>{NodeId("a")});
}

// Four lost heartbeats in a row don't end the lease of a live node; a fifth
// that is late or lost does. At 1 % loss of each, even without TCP's
// retransmissions, the probability of four in a row is 1 in 10^8.
TEST(Directory, ToleratesFourLostHeartbeats) {
  Directory directory = MakeDirectory();
  RenewMember(directory, MakeMember("a"), Millis(0));
  EXPECT_TRUE(ExpireMembers(directory, kHeartbeatPeriod * 4.9).empty());
}

TEST(Directory, SendsNoFullStateDuringWarmUp) {
  Directory directory = MakeDirectory();
  RenewMember(directory, MakeMember("a"), Millis(10));
  Subscriber subscriber;
  UpdateInterests(subscriber, directory, MakeSubscription(directory, kStock));
  EXPECT_FALSE(CollectDelta(subscriber, directory, Millis(20)).m_is_full);
  RenewMember(directory, MakeMember("b"), Millis(30));
  EXPECT_FALSE(CollectDelta(subscriber, directory, Millis(40)).m_is_full);
  const auto delta = CollectDelta(subscriber, directory, kDirectoryWarmUp);
  EXPECT_TRUE(delta.m_is_full);
  EXPECT_EQ(delta.m_changed.size(), 2U);
}

// A host that has just become the leader may receive heartbeats before it has
// set up its directory. A full delta of the few nodes that it knows would make
// their peers drop all others.
TEST(Directory, SendsNothingBeforeItIsStarted) {
  Directory directory;
  RenewMember(directory, MakeMember("a"), kAfterWarmUp);
  Subscriber subscriber;
  UpdateInterests(subscriber, directory, MakeSubscription(directory, kStock));
  EXPECT_TRUE(
      CollectDelta(subscriber, directory, kAfterWarmUp).m_services.empty());
}

TEST(Directory, IgnoresHeartbeatOfLowerIncarnation) {
  Directory directory = MakeDirectory();
  RenewMember(directory, MakeMember("a", "stock", 5), Millis(0));
  EXPECT_FALSE(RenewMember(directory, MakeMember("a", "old", 4), Millis(1)));
  EXPECT_EQ(
      directory.m_members.at(NodeId("a")).m_entry.m_target.m_service.value(),
      "stock");
}

// The host's clock was set back before the process was restarted, so that the
// new process has a lower incarnation.
TEST(Directory, AcceptsLowerIncarnationAfterKnownOneIsSilent) {
  Directory directory = MakeDirectory();
  RenewMember(directory, MakeMember("a", "stock", 5), Millis(0));
  // The refused heartbeat does not renew the lease.
  EXPECT_FALSE(
      RenewMember(directory, MakeMember("a", "stock", 4), kHeartbeatPeriod));
  EXPECT_TRUE(RenewMember(directory, MakeMember("a", "stock", 4),
                          kIncarnationRollbackDelay + kHeartbeatPeriod));
  EXPECT_EQ(directory.m_members.at(NodeId("a")).m_entry.m_incarnation, 4U);
}

TEST(Directory, LimitsMemberCount) {
  Directory directory = MakeDirectory();
  for (std::size_t i = 0; i < kMaxMembers + 100; ++i) {
    RenewMember(directory, MakeMember("n" + std::to_string(i)), Millis(0));
  }
  EXPECT_EQ(directory.m_members.size(), kMaxMembers);
}

}  // namespace
}  // namespace hemlockpoint
