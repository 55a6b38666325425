#include "hemlockpoint/node/membership_client.h"

#include <gtest/gtest.h>

#include "support/link_pair.h"

namespace hemlockpoint {
namespace {

MembershipHooks MakeHooks() {
  MembershipHooks hooks;
  hooks.m_describe_self = [] { return MemberEntry(); };
  hooks.m_apply_delta = [](const DirectoryDelta&) {
    return std::vector<std::string>();
  };
  hooks.m_knows_service = [](const ServiceName&) { return true; };
  hooks.m_forget_service = [](const ServiceName&) {};
  return hooks;
}

// Guards against responses that are lost because the directory no longer lists
// a node, or lists a new process of it, while calls at that node are running.
TEST(MembershipClient, CallsContinueAtAMemberThatTheDirectoryNoLongerLists) {
  LinkPair pair("127.0.92.1");
  MembershipHooks hooks = MakeHooks();
  hooks.m_apply_delta = [&](const DirectoryDelta&) {
    return std::vector<std::string>{ToText(pair.m_endpoint)};
  };
  MembershipClient client(pair.m_loop, pair.m_entry_links, {pair.m_endpoint},
                          hooks);
  pair.Run([&] {
    const OutboundCall call = pair.StartCall();
    pair.AwaitCalls(1);
    client.Handle(DirectoryDelta());
    SleepFor(Millis(300));
    pair.Respond(0);
    EXPECT_TRUE(LinkPair::HasResponse(call));
  });
}

// Guards against the same loss at a node beside a control host, when the group
// has no leader and the node asks one control host after the other.
TEST(MembershipClient, CallsContinueAtAControlHostThatDoesNotKnowTheLeader) {
  LinkPair pair("127.0.92.2");
  MembershipClient client(pair.m_loop, pair.m_entry_links,
                          {pair.m_endpoint, {"127.0.92.3", 9}}, MakeHooks());
  pair.Run([&] {
    pair.m_loop.Spawn([&] { client.Run(); });
    const OutboundCall call = pair.StartCall();
    pair.AwaitCalls(1);
    SleepFor(kHostSilenceTimeout * 2);
    pair.Respond(0);
    EXPECT_TRUE(LinkPair::HasResponse(call));
  });
  client.RequestHeartbeat();
}

// Guards against a node that leaves the leader, which an ack has just named,
// because the host that it had asked before can't be reached.
TEST(MembershipClient, AnUnreachableHostDoesNotReplaceTheLeaderNamedMeanwhile) {
  LinkPair pair("127.0.92.4");
  const Endpoint unreachable{"127.0.92.5", 9};
  MembershipClient client(pair.m_loop, pair.m_entry_links,
                          {unreachable, {"127.0.92.6", 9}}, MakeHooks());
  pair.Run([&] {
    pair.m_loop.Spawn([&] { client.Run(); });
    // Runs while the first heartbeat waits for its link.
    pair.m_loop.Spawn([&] {
      HeartbeatAck ack;
      ack.m_leader = ToText(pair.m_endpoint);
      (void)client.Handle(ack);
    });
    SleepFor(Millis(100));
    EXPECT_EQ(client.control_endpoint(), pair.m_endpoint);
  });
  client.RequestHeartbeat();
}

}  // namespace
}  // namespace hemlockpoint
