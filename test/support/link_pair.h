#ifndef HEMLOCKPOINT_TEST_SUPPORT_LINK_PAIR_H_
#define HEMLOCKPOINT_TEST_SUPPORT_LINK_PAIR_H_

#include <gtest/gtest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/transport/link_manager.h"
#include "support/free_endpoint.h"

namespace hemlockpoint {

inline Hello MakeHello(const std::string& node) {
  Hello hello;
  hello.m_group = "test";
  hello.m_node = NodeId(node);
  hello.m_incarnation = 1;
  return hello;
}

/// @brief The link managers of an entry and of a target's node, on one loop.
/// The target's node keeps the calls that it receives.
class LinkPair {
 public:
  explicit LinkPair(const std::string& address)
      : m_endpoint(FreeEndpoint(address)),
        m_target_links(
            m_loop,
            MakeHello("target"),
            64,
            {[this](InboundCall call) { m_calls.push_back(std::move(call)); },
             [this](LinkId link, const NodeId&, const Message&) {
               m_link_at_target = link;
             },
             [](LinkId, const NodeId&) {}}),
        m_entry_links(m_loop,
                      MakeHello("entry"),
                      64,
                      {[](InboundCall) {},
                       [this](LinkId, const NodeId&, const Message&) {
                         ++m_messages_at_entry;
                       },
                       [](LinkId, const NodeId&) {}}) {}

  /// @brief Runs `body` on a fiber until it returns.
  void Run(const std::function<void()>& body) {
    ASSERT_FALSE(m_target_links.Listen(m_endpoint));
    m_loop.Spawn([&] {
      body();
      m_calls.clear();
      m_entry_links.Shutdown();
      m_target_links.Shutdown();
      m_loop.Stop();
    });
    m_loop.Run();
  }

  OutboundCall StartCall() {
    const Result<LinkId> link =
        m_entry_links.EnsureLink(m_endpoint, SteadyNow() + kPatience);
    EXPECT_TRUE(link);
    return m_entry_links.StartCall(*link, CallStart());
  }

  /// @brief Waits until the target's node has received `count` calls.
  void AwaitCalls(std::size_t count) {
    const Millis until = SteadyNow() + kPatience;
    while (m_calls.size() < count && SteadyNow() < until) {
      SleepFor(Millis(2));
    }
    ASSERT_EQ(m_calls.size(), count);
  }

  void Respond(std::size_t call) {
    ResponseStart response;
    response.m_status = 200;
    response.m_complete = true;
    EXPECT_TRUE(m_calls.at(call).m_sender->SendResponse(std::move(response)));
  }

  /// @return Whether the call gets its response.
  static bool HasResponse(const OutboundCall& call) {
    return call.AwaitResponse(SteadyNow() + kPatience).has_value();
  }

  static constexpr Millis kPatience{2000};

  FiberLoop m_loop;
  Endpoint m_endpoint;
  std::vector<InboundCall> m_calls;
  std::optional<LinkId> m_link_at_target;
  int m_messages_at_entry = 0;
  LinkManager m_target_links;
  LinkManager m_entry_links;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TEST_SUPPORT_LINK_PAIR_H_
