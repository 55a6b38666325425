// An entry node that is being stopped, and a target beside another node.

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
namespace {

const char* const kAddress = "127.0.93.1";
const ServiceName kStock("stock");
constexpr Millis kWorkTime(300);

RouteDocument MakeDocument() {
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

Settings MakeSettings(const std::string& node, const std::string& service) {
  Settings settings;
  settings.m_node = NodeId(node);
  settings.m_target.m_service = ServiceName(service);
  settings.m_limits.m_connections = 16;
  return settings;
}

class LeavingEntry : public ::testing::Test {
 protected:
  LeavingEntry()
      : m_acceptor(m_io, {asio::ip::make_address(kAddress), 0}),
        m_http_endpoint(FreeEndpoint(kAddress)),
        m_peer_endpoint(FreeEndpoint(kAddress)),
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
    settings.m_target.m_endpoint = {kAddress,
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
    m_target_dispatcher.HandleTargetReport(report);
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

  // Runs `body` on a fiber, beside a target that takes kWorkTime.
  void Run(const std::function<void()>& body) {
    const ScriptedTarget target(
        m_acceptor, [this](tcp::socket& socket, const std::string& id) {
          ++m_runs;
          std::this_thread::sleep_for(ToChrono(kWorkTime));
          Write(socket, Answer(id, "body of " + id));
        });
    ASSERT_FALSE(m_target_links.Listen(m_peer_endpoint));
    ASSERT_FALSE(m_http.Listen(m_http_endpoint));
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
  std::atomic<int> m_runs{0};
};

// Guards against requests that are passed on late in a planned stop and are cut
// off at its end while the target is at work. The body of this one is complete
// when less time is left than the work takes.
TEST_F(LeavingEntry, RefusesARequestThatItCannotFinishBeforeItsStop) {
  Run([this] {
    EXPECT_NE(Request("q1").find(" 200 "), std::string::npos);
    m_entry_context.m_leaving = true;
    m_entry_context.m_stops_at = SteadyNow() + Millis(600);
    const std::string response = Request("q2", Millis(400));
    EXPECT_NE(response.find(" 503 "), std::string::npos) << response;
    EXPECT_NE(response.find("Retry-After"), std::string::npos) << response;
    EXPECT_EQ(m_runs, 1);
  });
}

TEST_F(LeavingEntry, PassesOnARequestThatItCanFinishBeforeItsStop) {
  Run([this] {
    EXPECT_NE(Request("q1").find(" 200 "), std::string::npos);
    m_entry_context.m_leaving = true;
    m_entry_context.m_stops_at = SteadyNow() + kWorkTime * 5;
    const std::string response = Request("q2", Millis(50));
    EXPECT_NE(response.find("body of q2"), std::string::npos) << response;
  });
}

// Without a measured duration, the objective of the route is the expectation.
TEST_F(LeavingEntry, ExpectsTheObjectiveOfARouteWithoutAMeasuredDuration) {
  Run([this] {
    RouteDocument document = MakeDocument();
    document.m_routes[0].m_objective = Millis(2000);
    m_entry_context.m_route_table = MakeRouteTable(std::move(document));
    m_entry_context.m_leaving = true;
    m_entry_context.m_stops_at = SteadyNow() + Millis(1000);
    const std::string response = Request("q1");
    EXPECT_NE(response.find(" 503 "), std::string::npos) << response;
    EXPECT_EQ(m_runs, 0);
  });
}

}  // namespace
}  // namespace hemlockpoint::platform
