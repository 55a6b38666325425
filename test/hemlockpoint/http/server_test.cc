#include "hemlockpoint/http/server.h"

#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>

#include "hemlockpoint/runtime/fiber_event.h"

namespace hemlockpoint {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

const Endpoint kServerEndpoint{"127.0.89.1", 7891};

// Sends bytes on one connection and returns all bytes received until the server
// closes it.
std::string SendAndReceive(const std::string& request) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect({asio::ip::make_address(kServerEndpoint.m_address),
                  kServerEndpoint.m_port});
  asio::write(socket, asio::buffer(request));
  std::string response;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(response), error);
  return response;
}

std::size_t CountOccurrences(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

// Guards against a server that closes a connection before all requests it has
// read on it are answered. The handler of the second request calls
// CloseAfterResponses() while its response waits for the first one. The
// handlers order these events, so the test does not depend on timing.
TEST(HttpServer, CloseAfterResponsesAnswersAllPipelinedRequests) {
  FiberLoop loop;
  FiberEvent changed;
  bool second_served = false;
  HttpServer server(loop, HttpServerLimits(), [&](HttpExchange& exchange) {
    if (exchange.head().m_path == "/second") {
      second_served = true;
      server.CloseAfterResponses();
      changed.Notify();
    } else {
      changed.Wait([&] { return second_served; });
    }
    HttpResponseHead head;
    head.m_status = 200;
    (void)exchange.Respond(head, exchange.head().m_path);
  });
  ASSERT_FALSE(server.Listen(kServerEndpoint));
  std::string responses;
  std::thread client([&] {
    responses = SendAndReceive(
        "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
        "GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
  });
  loop.Spawn([&] {
    while (!second_served) {
      SleepFor(Millis(5));
    }
    while (server.connections() != 0) {
      SleepFor(Millis(5));
    }
    server.Drain();
    loop.Stop();
  });
  loop.Run();
  client.join();
  EXPECT_EQ(CountOccurrences(responses, "HTTP/1.1 200"), 2U) << responses;
  EXPECT_EQ(CountOccurrences(responses, "Connection: close"), 1U) << responses;
  EXPECT_LT(responses.find("/first"), responses.find("/second"));
}

}  // namespace
}  // namespace hemlockpoint
