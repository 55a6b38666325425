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

const Endpoint kListen{"127.0.89.1", 7891};

// Sends bytes on one connection and returns all that comes until it closes.
std::string Exchange(const std::string& request) {
  asio::io_context io;
  tcp::socket socket(io);
  socket.connect({asio::ip::make_address(kListen.m_address), kListen.m_port});
  asio::write(socket, asio::buffer(request));
  std::string answer;
  boost::system::error_code error;
  asio::read(socket, asio::dynamic_buffer(answer), error);
  return answer;
}

std::size_t Count(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

// The second request is served at once and its answer waits for the first's;
// the stop comes in between. The events are ordered by the handlers, not by
// the clock.
TEST(HttpServer, AStopAnswersEveryPipelinedRequestThatWasTaken) {
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
  ASSERT_FALSE(server.Listen(kListen));
  std::string answer;
  std::thread caller([&] {
    answer = Exchange(
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
  caller.join();
  EXPECT_EQ(Count(answer, "HTTP/1.1 200"), 2U) << answer;
  EXPECT_EQ(Count(answer, "Connection: close"), 1U) << answer;
  EXPECT_LT(answer.find("/first"), answer.find("/second"));
}

}  // namespace
}  // namespace hemlockpoint
