#include "hemlockpoint/node/admin_service.h"

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "hemlockpoint/http/server.h"
#include "support/free_endpoint.h"

namespace hemlockpoint {
namespace {

namespace asio = boost::asio;

// Sends a PUT with a body of this size and returns the response's first line.
std::string PutBody(const Endpoint& server, std::size_t bytes) {
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::make_address(server.m_address), server.m_port});
  const std::string request =
      "PUT /document HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
      "Content-Length: " +
      std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x');
  std::string response;
  boost::system::error_code error;
  asio::write(socket, asio::buffer(request), error);
  asio::read(socket, asio::dynamic_buffer(response), error);
  return response.substr(0, response.find('\r'));
}

// Guards against operators whose document, with some thousand routes, is
// refused for its size.
TEST(AdminService, TakesBodiesUpToItsLimit) {
  const Endpoint endpoint = FreeEndpoint("127.0.93.1");
  FiberLoop loop;
  AdminService service;
  std::size_t received = 0;
  service.Add("PUT /document", [&](const AdminRequest& request) {
    received = request.m_body.size();
    return AdminResponse();
  });
  HttpServerLimits limits;
  limits.m_body_bytes = AdminService::kMaxBodyBytes;
  HttpServer server(loop, limits,
                    [&](HttpExchange& exchange) { service.Serve(exchange); });
  ASSERT_FALSE(server.Listen(endpoint));
  std::string at_limit;
  std::string above_limit;
  std::atomic<bool> is_done{false};
  std::thread client([&] {
    at_limit = PutBody(endpoint, std::size_t{1024} * 1024);
    above_limit = PutBody(endpoint, AdminService::kMaxBodyBytes + 1);
    is_done = true;
  });
  loop.Spawn([&] {
    while (!is_done) {
      SleepFor(Millis(5));
    }
    server.Drain();
    loop.Stop();
  });
  loop.Run();
  client.join();
  EXPECT_EQ(at_limit, "HTTP/1.1 200 OK");
  EXPECT_EQ(received, std::size_t{1024} * 1024);
  EXPECT_EQ(above_limit, "HTTP/1.1 413 Payload Too Large");
}

}  // namespace
}  // namespace hemlockpoint
