// Health checks of a node whose target is unknown.

#include <gtest/gtest.h>

#include <future>
#include <string>
#include <vector>

#include "hemlockpoint/relay/slot_dispatcher.h"
#include "platform/protocol_adapter.h"
#include "platform/scripted_target.h"

namespace hemlockpoint::platform {
namespace {

const char* const kTargetAddress = "127.0.89.4";

RouteDocument MakeDocumentWithHealthPath(const std::string& path) {
  RouteDocument document;
  document.m_services.push_back({ServiceName("stock"), path, 0});
  return document;
}

// Guards against a health check of a path from memory that was freed when a new
// document came into force while the check connected.
TEST(HealthCheck, ADocumentThatArrivesWhileItConnectsDoesNotChangeItsPath) {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::make_address(kTargetAddress), 0});
  std::promise<std::string> path;
  std::thread target([&] {
    tcp::socket socket(io);
    acceptor.accept(socket);
    std::string head;
    boost::system::error_code ignored;
    asio::read_until(socket, asio::dynamic_buffer(head), "\r\n", ignored);
    path.set_value(head.substr(0, head.find("\r\n")));
  });
  FiberLoop loop;
  Settings settings;
  settings.m_target.m_service = ServiceName("stock");
  settings.m_target.m_endpoint = {kTargetAddress,
                                  acceptor.local_endpoint().port()};
  RelayContext context(settings, PlatformProtocolAdapter(), loop);
  context.m_route_table = MakeRouteTable(
      MakeDocumentWithHealthPath("/a/health/path/longer/than/a/short/string"));
  SlotDispatcher dispatcher(context);
  std::vector<std::string> reused_memory;
  loop.Spawn([&] {
    TargetReport report;
    report.m_instance = "i-1";
    report.m_service = settings.m_target.m_service;
    report.m_endpoint = settings.m_target.m_endpoint;
    report.m_slots = 8;
    report.m_sequence = 1;
    (void)dispatcher.HandleTargetReport(report);
    // Runs once the check is connecting.
    loop.Spawn([&] {
      context.m_route_table =
          MakeRouteTable(MakeDocumentWithHealthPath("/other"));
      reused_memory.assign(1000, std::string(41, 'x'));
      loop.Stop();
    });
  });
  loop.Run();
  target.join();
  EXPECT_EQ(path.get_future().get(),
            "GET /a/health/path/longer/than/a/short/string HTTP/1.1");
}

}  // namespace
}  // namespace hemlockpoint::platform
