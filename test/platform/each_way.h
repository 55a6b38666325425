#ifndef HEMLOCKPOINT_TEST_PLATFORM_EACH_WAY_H_
#define HEMLOCKPOINT_TEST_PLATFORM_EACH_WAY_H_

#include <functional>
#include <string>
#include <vector>

#include "platform/raw_clients.h"

namespace hemlockpoint::platform {

/// @brief How a client reaches the target.
struct Way {
  const char* m_name;
  /// Through the target's node only, or through the entry node to it.
  bool m_is_at_target_node;
  const char* m_client_version;
};

inline constexpr Way kWays[] = {{"TwoNodes", false, "1.1"},
                                {"TwoNodesHttp10", false, "1.0"},
                                {"OneNode", true, "1.1"},
                                {"OneNodeHttp10", true, "1.0"}};

inline std::string NameOfWay(const ::testing::TestParamInfo<Way>& info) {
  return info.param.m_name;
}

/// @brief Two nodes, both of which serve clients.
class EachWay : public RawClients, public ::testing::WithParamInterface<Way> {
 protected:
  EachWay()
      : RawClients("127.35.0.3"),
        m_target_http_endpoint(FreeEndpoint(m_address)),
        m_target_router(m_target_context,
                        m_target_dispatcher,
                        [](const ServiceName&) {}),
        m_target_http(m_loop,
                      HttpServerLimits(),
                      [this](HttpExchange& exchange) {
                        m_target_router.Serve(exchange);
                      }) {
    DirectoryDelta delta;
    for (const auto& [node, member] : m_entry_context.m_members) {
      delta.m_changed.push_back(member);
    }
    (void)ApplyMembershipDelta(m_target_context, delta);
  }

  /// @brief Sends the bytes of each client in the way of the test.
  std::vector<ClientView> FetchEach(const ScriptedTarget::Serve& serve,
                                    const std::vector<std::string>& clients) {
    std::vector<ClientView> views;
    RunEach(serve, [&](const Endpoint& node) { views = Fetch(clients, node); });
    return views;
  }

  /// @brief Runs `body` with the node that serves clients in the way of the
  /// test.
  void RunEach(const ScriptedTarget::Serve& serve,
               const std::function<void(const Endpoint&)>& body) {
    Run(serve, [&] {
      if (!GetParam().m_is_at_target_node) {
        body(m_http_endpoint);
        return;
      }
      ASSERT_FALSE(m_target_http.Listen(m_target_http_endpoint));
      body(m_target_http_endpoint);
      m_target_http.Drain();
    });
  }

  void SetHttpLimits(const HttpServerLimits& limits) {
    m_http.SetLimits(limits);
    m_target_http.SetLimits(limits);
  }

  /// @return The state of the node that serves clients.
  RelayContext& EntryContext() {
    return GetParam().m_is_at_target_node ? m_target_context : m_entry_context;
  }

 private:
  Endpoint m_target_http_endpoint;
  RequestRouter m_target_router;
  HttpServer m_target_http;
};

}  // namespace hemlockpoint::platform

#endif  // HEMLOCKPOINT_TEST_PLATFORM_EACH_WAY_H_
