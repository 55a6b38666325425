#ifndef HEMLOCKPOINT_TEST_PLATFORM_TWO_NODES_H_
#define HEMLOCKPOINT_TEST_PLATFORM_TWO_NODES_H_

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/read.hpp>
#include <string>
#include <thread>

#include "hemlockpoint/http/server.h"
#include "hemlockpoint/relay/request_router.h"
#include "platform/protocol_adapter.h"
#include "platform/scripted_target.h"
#include "support/link_pair.h"

namespace hemlockpoint::platform {

inline const ServiceName kStock("stock");

inline RouteDocument MakeDocument() {
  RouteDocument document;
  document.m_services.push_back({kStock, "", 0});
  Route route;
  route.m_name = RouteName("r");
  route.m_host = "a";
  route.m_path_prefix = "/a/";
  route.m_kind = WorkKind::kUnsafe;
  route.m_timeout = Millis(5000);
  route.m_services.push_back({kStock, 1});
  document.m_routes.push_back(route);
  return document;
}

inline Settings MakeSettings(const std::string& node,
                             const std::string& service) {
  Settings settings;
  settings.m_node = NodeId(node);
  settings.m_target.m_service = ServiceName(service);
  settings.m_limits.m_connections = 16;
  return settings;
}

/// @brief An entry node, and a target beside another node, on one loop.
class TwoNodes : public ::testing::Test {
 protected:
  explicit TwoNodes(const std::string& address)
      : m_address(address),
        m_acceptor(m_io, {asio::ip::make_address(address), 0}),
        m_http_endpoint(FreeEndpoint(address)),
        m_peer_endpoint(FreeEndpoint(address)),
        m_target_context(MakeTargetSettings(),
                         PlatformProtocolAdapter(),
                         m_loop),
        m_target_dispatcher(m_target_context),
        m_target_links(m_loop,
                       MakeHello("target"),
                       64,
                       {[this](InboundCall call) { Serve(std::move(call)); },
                        [](LinkId, const NodeId&, const Message&) {},
                        [](LinkId, const NodeId&) {}}),
        m_entry_context(MakeSettings("entry", "gate"),
                        PlatformProtocolAdapter(),
                        m_loop),
        m_entry_dispatcher(m_entry_context),
        m_entry_links(
            m_loop,
            MakeHello("entry"),
            64,
            {[](InboundCall) {}, [](LinkId, const NodeId&, const Message&) {},
             [](LinkId, const NodeId&) {}}),
        m_router(m_entry_context,
                 m_entry_dispatcher,
                 [](const ServiceName&) {}),
        m_http(m_loop, HttpServerLimits(), [this](HttpExchange& exchange) {
          m_router.Serve(exchange);
        }) {
    m_entry_context.m_links = &m_entry_links;
    m_target_context.m_links = &m_target_links;
    m_entry_context.m_route_table = MakeRouteTable(MakeDocument());
    m_target_context.m_route_table = MakeRouteTable(MakeDocument());
    DirectoryDelta delta;
    MemberEntry member;
    member.m_node = NodeId("target");
    member.m_peer = ToText(m_peer_endpoint);
    member.m_target.m_service = kStock;
    member.m_target.m_slots = 8;
    delta.m_changed.push_back(member);
    (void)ApplyMembershipDelta(m_entry_context, delta);
  }

  [[nodiscard]] Settings MakeTargetSettings() const {
    Settings settings = MakeSettings("target", "stock");
    settings.m_target.m_endpoint = {m_address,
                                    m_acceptor.local_endpoint().port()};
    return settings;
  }

  void Serve(InboundCall call) {
    auto shared = std::make_shared<InboundCall>(std::move(call));
    m_loop.Spawn(
        [this, shared] { m_target_dispatcher.Serve(std::move(*shared)); });
  }

  void ReportTarget() {
    TargetReport report;
    report.m_instance = "i-1";
    report.m_service = kStock;
    report.m_endpoint = m_target_context.m_settings.m_target.m_endpoint;
    report.m_slots = 8;
    report.m_sequence = 1;
    (void)m_target_dispatcher.HandleTargetReport(report);
    while (m_target_dispatcher.Summary().m_slots == 0) {
      SleepFor(Millis(5));
    }
  }

  // Sends a request whose last bytes come after `pause`. Returns the response,
  // up to the close of the connection.
  std::string Request(const std::string& id, Millis pause = Millis(0)) {
    std::string response;
    std::atomic<bool> is_done{false};
    std::thread client([&] {
      asio::io_context io;
      tcp::socket socket(io);
      socket.connect({asio::ip::make_address(m_http_endpoint.m_address),
                      m_http_endpoint.m_port});
      Write(socket, "POST /a/b HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id +
                        "\r\nConnection: close\r\nContent-Length: 4\r\n\r\nab");
      std::this_thread::sleep_for(ToChrono(pause));
      Write(socket, "cd");
      boost::system::error_code error;
      asio::read(socket, asio::dynamic_buffer(response), error);
      is_done = true;
    });
    while (!is_done) {
      SleepFor(Millis(5));
    }
    client.join();
    return response;
  }

  // Runs `body` on a fiber, beside a target that serves requests.
  void Run(const ScriptedTarget::Serve& serve,
           const std::function<void()>& body) {
    const ScriptedTarget target(m_acceptor, serve);
    ASSERT_FALSE(m_target_links.Listen(m_peer_endpoint));
    ASSERT_FALSE(m_http.Listen(m_http_endpoint));
    m_loop.SpawnPeriodic(SlotDispatcher::kTickPeriod,
                         [this] { m_target_dispatcher.Tick(); });
    m_loop.Spawn([&] {
      ReportTarget();
      body();
      m_http.Drain();
      m_entry_links.Shutdown();
      m_target_links.Shutdown();
      m_loop.Stop();
    });
    m_loop.Run();
  }

  std::string m_address;
  asio::io_context m_io;
  tcp::acceptor m_acceptor;
  Endpoint m_http_endpoint;
  Endpoint m_peer_endpoint;
  FiberLoop m_loop;
  RelayContext m_target_context;
  SlotDispatcher m_target_dispatcher;
  LinkManager m_target_links;
  RelayContext m_entry_context;
  SlotDispatcher m_entry_dispatcher;
  LinkManager m_entry_links;
  RequestRouter m_router;
  HttpServer m_http;
};

}  // namespace hemlockpoint::platform

#endif  // HEMLOCKPOINT_TEST_PLATFORM_TWO_NODES_H_
