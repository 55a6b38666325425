#ifndef HEMLOCKPOINT_TEST_SUPPORT_RAFT_HOST_H_
#define HEMLOCKPOINT_TEST_SUPPORT_RAFT_HOST_H_

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <functional>
#include <string>
#include <utility>

#include "hemlockpoint/control/raft_driver.h"
#include "support/link_pair.h"

namespace hemlockpoint {

/// @brief The Raft member of a control host in route mode, with a data folder
/// that is removed at the end.
class RaftHost {
 public:
  /// @param name Name of the host, unique among the tests.
  RaftHost(const std::string& name,
           const std::string& address,
           StateMachineCallbacks state_machine)
      : m_settings(MakeSettings(name, address)),
        m_links(
            m_loop,
            MakeHello(name),
            64,
            {[](InboundCall) {}, [](LinkId, const NodeId&, const Message&) {},
             [](LinkId, const NodeId&) {}}),
        m_group(m_settings, m_loop, m_links, std::move(state_machine)) {}
  ~RaftHost() { std::filesystem::remove_all(m_settings.m_data_folder); }
  RaftHost(const RaftHost&) = delete;
  RaftHost& operator=(const RaftHost&) = delete;

  /// @brief Runs `body` on a fiber until it returns.
  void Run(const std::function<void()>& body) {
    ASSERT_FALSE(m_group.Start());
    m_loop.Spawn([&] {
      body();
      m_links.Shutdown();
      m_loop.Stop();
    });
    m_loop.Run();
  }

  /// @brief Runs `body` on a fiber once the host leads a group of its own.
  void RunAsLeader(const std::function<void()>& body) {
    Run([&] {
      GroupConfig config;
      config.m_group_id = "g";
      GroupMember member;
      member.m_node = m_settings.m_node;
      member.m_instance = m_group.raft().m_instance;
      member.m_peer = ToText(m_settings.m_peer);
      member.m_is_voter = true;
      config.m_members.push_back(member);
      ASSERT_TRUE(m_group.Init(config));
      const Millis until = SteadyNow() + Millis(10'000);
      while (!m_group.is_leader() && SteadyNow() < until) {
        SleepFor(Millis(5));
      }
      body();
    });
  }

  Settings m_settings;
  FiberLoop m_loop;
  LinkManager m_links;
  RaftDriver m_group;

 private:
  static Settings MakeSettings(const std::string& name,
                               const std::string& address) {
    Settings settings;
    settings.m_node = NodeId(name);
    settings.m_is_control = true;
    settings.m_mode = ServingMode::kRoutes;
    settings.m_peer = FreeEndpoint(address);
    settings.m_data_folder =
        (std::filesystem::temp_directory_path() /
         ("hemlockpoint-" + name + "-" + std::to_string(::getpid())))
            .string();
    return settings;
  }
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TEST_SUPPORT_RAFT_HOST_H_
