#include "hemlockpoint/control/group_reconciler.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "support/raft_host.h"

namespace hemlockpoint {
namespace {

constexpr std::uint16_t kPort = 7000;

std::vector<Endpoint> MakeEndpoints(const std::string& prefix, int count) {
  std::vector<Endpoint> endpoints;
  for (int i = 1; i <= count; ++i) {
    endpoints.push_back({prefix + std::to_string(i), kPort});
  }
  return endpoints;
}

// Guards against a crash, or a group of other hosts than those that the seeds
// of the start name, when the settings are reloaded while the group is formed.
TEST(GroupReconciler, AReloadWhileTheGroupIsFormedDoesNotChangeItsMembers) {
  RaftHost host("reconciler", "127.0.90.3",
                {[](const LogEntry&) {}, [](const std::string&) {},
                 [] { return std::string(); }});
  const std::vector<Endpoint> seeds = MakeEndpoints("127.31.90.", 3);
  host.m_settings.m_peer = seeds.front();
  host.m_settings.m_seeds = seeds;
  host.m_settings.m_may_form_group = true;
  const auto query_instance = [&](const Endpoint& seed) {
    // What another fiber does while the reply is awaited.
    host.m_settings.m_seeds = MakeEndpoints("127.31.91.", 40);
    InstanceQuery reply;
    reply.m_is_reply = true;
    reply.m_instance = "instance of " + ToText(seed);
    return std::optional<InstanceQuery>(reply);
  };
  GroupReconciler reconciler(host.m_settings, host.m_loop, host.m_links,
                             host.m_group, query_instance);
  host.Run([&] {
    reconciler.Start();
    const Millis until = SteadyNow() + Millis(2000);
    while (!IsInGroup(host.m_group.raft()) && SteadyNow() < until) {
      SleepFor(Millis(10));
    }
  });
  std::vector<std::string> peers;
  for (const GroupMember& member :
       host.m_group.raft().m_config.m_config.m_members) {
    peers.push_back(member.m_peer);
  }
  EXPECT_EQ(peers, (std::vector<std::string>{ToText(seeds[0]), ToText(seeds[1]),
                                             ToText(seeds[2])}));
}

}  // namespace
}  // namespace hemlockpoint
