#include "hemlockpoint/node/membership_client.h"

#include <gtest/gtest.h>

#include "support/link_pair.h"

namespace hemlockpoint {
namespace {

// Guards against responses that are lost because the directory no longer lists
// a node, or lists a new process of it, while calls at that node are running.
TEST(MembershipClient, CallsContinueAtAMemberThatTheDirectoryNoLongerLists) {
  LinkPair pair("127.0.92.1");
  MembershipHooks hooks;
  hooks.m_describe_self = [] { return MemberEntry(); };
  hooks.m_apply_delta = [&](const DirectoryDelta&) {
    return std::vector<std::string>{ToText(pair.m_endpoint)};
  };
  hooks.m_knows_service = [](const ServiceName&) { return true; };
  hooks.m_forget_service = [](const ServiceName&) {};
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
  MembershipHooks hooks;
  hooks.m_describe_self = [] { return MemberEntry(); };
  hooks.m_apply_delta = [](const DirectoryDelta&) {
    return std::vector<std::string>();
  };
  hooks.m_knows_service = [](const ServiceName&) { return true; };
  hooks.m_forget_service = [](const ServiceName&) {};
  MembershipClient client(pair.m_loop, pair.m_entry_links,
                          {pair.m_endpoint, {"127.0.92.3", 9}}, hooks);
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

}  // namespace
}  // namespace hemlockpoint
