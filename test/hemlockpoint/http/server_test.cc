#include "hemlockpoint/http/server.h"

#include <gtest/gtest.h>

#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "hemlockpoint/runtime/fiber_event.h"
#include "support/free_endpoint.h"

namespace hemlockpoint {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// Tests run as processes of their own at the same time, so each takes a free
// port.
const Endpoint kServerEndpoint = FreeEndpoint("127.0.89.1");
constexpr Millis kBodyTimeout(30'000);

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

// Runs the server until another thread has set `is_done`.
void RunUntil(const std::atomic<bool>& is_done,
              FiberLoop& loop,
              HttpServer& server) {
  loop.Spawn([&] {
    while (!is_done) {
      SleepFor(Millis(5));
    }
    server.Drain();
    loop.Stop();
  });
  loop.Run();
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

// Guards against a response that is lost because a later one on the connection
// is aborted. The first response is written only after the abort has begun.
TEST(HttpServer, AbortWaitsForEarlierResponses) {
  FiberLoop loop;
  FiberEvent changed;
  bool is_aborting = false;
  HttpServer server(loop, HttpServerLimits(), [&](HttpExchange& exchange) {
    if (exchange.head().m_path == "/second") {
      is_aborting = true;
      changed.Notify();
      exchange.Abort();
      return;
    }
    changed.Wait([&] { return is_aborting; });
    SleepFor(Millis(50));
    HttpResponseHead head;
    head.m_status = 200;
    (void)exchange.Respond(head, exchange.head().m_path);
  });
  ASSERT_FALSE(server.Listen(kServerEndpoint));
  std::string responses;
  std::atomic<bool> is_done{false};
  std::thread client([&] {
    responses = SendAndReceive(
        "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
        "GET /second HTTP/1.1\r\nHost: a\r\n\r\n"
        "GET /third HTTP/1.1\r\nHost: a\r\n\r\n");
    is_done = true;
  });
  RunUntil(is_done, loop, server);
  client.join();
  EXPECT_EQ(CountOccurrences(responses, "HTTP/1.1 200"), 1U) << responses;
  EXPECT_NE(responses.find("/first"), std::string::npos) << responses;
}

// A client's connection to the server, used without blocking the loop.
class RawClient {
 public:
  RawClient() : m_socket(m_io) {
    m_socket.connect({asio::ip::make_address(kServerEndpoint.m_address),
                      kServerEndpoint.m_port});
  }

  void Send(const std::string& bytes) {
    asio::write(m_socket, asio::buffer(bytes));
  }

  // Returns how many bytes were written before the server closed the
  // connection, or `limit` if it didn't.
  std::size_t SendUntilClosed(const std::string& bytes, std::size_t limit) {
    std::size_t written = 0;
    boost::system::error_code error;
    while (!error && written < limit) {
      written += asio::write(m_socket, asio::buffer(bytes), error);
    }
    return written;
  }

  std::string ReceiveAll() {
    std::string response;
    boost::system::error_code error;
    asio::read(m_socket, asio::dynamic_buffer(response), error);
    return response;
  }

 private:
  asio::io_context m_io;
  tcp::socket m_socket;
};

// The load: requests keep arriving while the server is stopped. One is on a
// connection that the server hasn't accepted yet, one on a kept connection that
// it hasn't read from, and of one only a part of the head has arrived.
TEST(HttpServer, DrainAnswersRequestsThatHaveJustArrived) {
  FiberLoop loop;
  HttpServer server(loop, HttpServerLimits(), [&](HttpExchange& exchange) {
    HttpResponseHead head;
    head.m_status = 200;
    (void)exchange.Respond(head, exchange.head().m_path);
  });
  ASSERT_FALSE(server.Listen(kServerEndpoint));
  std::string kept_response;
  std::string partial_response;
  std::string new_response;
  loop.Spawn([&] {
    RawClient kept;
    RawClient partial;
    // Until the server has accepted both.
    while (server.connections() < 2) {
      SleepFor(Millis(5));
    }
    SleepFor(Millis(20));
    // Nothing below runs the loop before the server is drained.
    kept.Send("GET /kept HTTP/1.1\r\nHost: a\r\n\r\n");
    partial.Send("GET /partial HTTP/1.1\r\nHo");
    RawClient fresh;
    fresh.Send("GET /new HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(server.HasUnansweredRequests());
    server.Drain();
    SleepFor(Millis(20));
    partial.Send("st: a\r\n\r\n");
    while (server.HasUnansweredRequests()) {
      SleepFor(Millis(5));
    }
    kept_response = kept.ReceiveAll();
    partial_response = partial.ReceiveAll();
    new_response = fresh.ReceiveAll();
    loop.Stop();
  });
  loop.Run();
  EXPECT_NE(kept_response.find("/kept"), std::string::npos) << kept_response;
  EXPECT_NE(partial_response.find("/partial"), std::string::npos)
      << partial_response;
  EXPECT_NE(new_response.find("/new"), std::string::npos) << new_response;
}

// Guards against an exception that ends the process where heads of more than
// 64 KiB are allowed: the parser can't store a field of that size.
TEST(HttpServer, AFieldThatIsTooLongToStoreGets431) {
  FiberLoop loop;
  HttpServerLimits limits;
  limits.m_header_bytes = 256 * 1024;
  int handled = 0;
  HttpServer server(loop, limits, [&](HttpExchange& exchange) {
    ++handled;
    HttpResponseHead head;
    head.m_status = 200;
    (void)exchange.Respond(head, "ok");
  });
  ASSERT_FALSE(server.Listen(kServerEndpoint));
  const std::string start =
      "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n";
  const std::string filler(40'000, 'a');
  std::string long_field;
  std::string long_name;
  std::string long_head;
  std::atomic<bool> is_done{false};
  std::thread client([&] {
    long_field =
        SendAndReceive(start + "X-A: " + std::string(80'000, 'a') + "\r\n\r\n");
    long_name =
        SendAndReceive(start + std::string(80'000, 'a') + ": b\r\n\r\n");
    long_head = SendAndReceive(start + "X-A: " + filler + "\r\nX-B: " + filler +
                               "\r\n\r\n");
    is_done = true;
  });
  RunUntil(is_done, loop, server);
  client.join();
  EXPECT_NE(long_field.find(" 431 "), std::string::npos) << long_field;
  EXPECT_NE(long_name.find(" 431 "), std::string::npos) << long_name;
  EXPECT_NE(long_head.find(" 200 "), std::string::npos) << long_head;
  EXPECT_EQ(handled, 1);
}

// Guards against a request that is lost because the server is drained between
// the read of its first bytes and the turn of its connection's fiber. The
// handler on the loop makes the connection's fiber and this one ready in one
// turn, the connection's first.
TEST(HttpServer, DrainAnswersARequestWhoseHeadIsBeingRead) {
  constexpr std::chrono::milliseconds kLongerThanTheSleep(30);
  FiberLoop loop;
  HttpServer server(loop, HttpServerLimits(), [&](HttpExchange& exchange) {
    HttpResponseHead head;
    head.m_status = 200;
    (void)exchange.Respond(head, exchange.head().m_path);
  });
  ASSERT_FALSE(server.Listen(kServerEndpoint));
  std::string response;
  loop.Spawn([&] {
    RawClient client;
    while (server.connections() < 1) {
      SleepFor(Millis(5));
    }
    SleepFor(Millis(20));
    asio::post(loop.io(), [&] {
      client.Send("GET /kept HTTP/1.1\r\nHost: a\r\n\r\n");
      std::this_thread::sleep_for(kLongerThanTheSleep);
    });
    SleepFor(Millis(10));
    EXPECT_TRUE(server.HasUnansweredRequests());
    server.Drain();
    while (server.HasUnansweredRequests()) {
      SleepFor(Millis(5));
    }
    response = client.ReceiveAll();
    loop.Stop();
  });
  loop.Run();
  EXPECT_NE(response.find("/kept"), std::string::npos) << response;
}

// Guards against a kept connection that is closed as idle although its next
// request has arrived, because the process was stalled until the idle time was
// over.
TEST(HttpServer, ARequestThatArrivesDuringAStallIsAnswered) {
  constexpr std::chrono::milliseconds kStall(700);
  FiberLoop loop;
  HttpServerLimits limits;
  limits.m_idle_timeout = Millis(300);
  HttpServer server(loop, limits, [&](HttpExchange& exchange) {
    HttpResponseHead head;
    head.m_status = 200;
    (void)exchange.Respond(head, exchange.head().m_path);
  });
  ASSERT_FALSE(server.Listen(kServerEndpoint));
  std::string response;
  loop.Spawn([&] {
    RawClient client;
    while (server.connections() < 1) {
      SleepFor(Millis(5));
    }
    SleepFor(Millis(20));
    asio::post(loop.io(), [&] {
      client.Send("GET /kept HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      std::this_thread::sleep_for(kStall);
    });
    while (server.connections() > 0) {
      SleepFor(Millis(5));
    }
    response = client.ReceiveAll();
    server.Drain();
    loop.Stop();
  });
  loop.Run();
  EXPECT_NE(response.find("/kept"), std::string::npos) << response;
}

// Guards against a server that resets a new connection because the check for
// idle connections comes before the connection's fiber has run. The handler on
// the loop makes both due in one turn, the accept first.
TEST(HttpServer, ANewConnectionIsNotIdle) {
  constexpr std::chrono::milliseconds kLongerThanTheCheckPeriod(700);
  FiberLoop loop;
  HttpServerLimits limits;
  limits.m_idle_timeout = Millis(5000);
  HttpServer server(loop, limits, [&](HttpExchange& exchange) {
    HttpResponseHead head;
    head.m_status = 200;
    (void)exchange.Respond(head, "");
  });
  ASSERT_FALSE(server.Listen(kServerEndpoint));
  std::atomic<bool> is_loop_held{false};
  std::atomic<bool> is_done{false};
  loop.Spawn([&] {
    asio::post(loop.io(), [&] {
      is_loop_held = true;
      std::this_thread::sleep_for(kLongerThanTheCheckPeriod);
    });
  });
  std::string response;
  std::thread client([&] {
    while (!is_loop_held) {
      std::this_thread::yield();
    }
    response = SendAndReceive(
        "GET /a HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    is_done = true;
  });
  RunUntil(is_done, loop, server);
  client.join();
  EXPECT_NE(response.find(" 200 "), std::string::npos) << response;
}

// Guards against the rest of a malformed body that is run as a request while
// the response waits for an earlier one.
TEST(HttpServer, WhatFollowsAMalformedBodyIsNoRequest) {
  constexpr Millis kTimeToReadOn(200);
  FiberLoop loop;
  std::string paths;
  HttpServer server(loop, HttpServerLimits(), [&](HttpExchange& exchange) {
    paths += exchange.head().m_path;
    auto bytes = exchange.ReadBody(SteadyNow() + kBodyTimeout);
    while (bytes && !bytes->empty()) {
      bytes = exchange.ReadBody(SteadyNow() + kBodyTimeout);
    }
    if (exchange.head().m_path == "/first") {
      SleepFor(kTimeToReadOn);
    }
    HttpResponseHead head;
    head.m_status = bytes ? 200 : 400;
    (void)exchange.Respond(head, "");
  });
  ASSERT_FALSE(server.Listen(kServerEndpoint));
  std::atomic<bool> is_done{false};
  std::string responses;
  std::thread client([&] {
    responses = SendAndReceive(
        "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
        "POST /upload HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        "\r\nGET /inner HTTP/1.1\r\nHost: a\r\n\r\n");
    is_done = true;
  });
  RunUntil(is_done, loop, server);
  client.join();
  EXPECT_EQ(paths, "/first/upload");
  EXPECT_EQ(CountOccurrences(responses, "HTTP/1.1 "), 2U) << responses;
  EXPECT_EQ(CountOccurrences(responses, "Connection: close"), 1U) << responses;
}

// Guards against an upload whose reading goes on after its response.
TEST(HttpServer, AResponseBeforeTheEndOfAnUploadArrives) {
  FiberLoop loop;
  BodyError error = BodyError::kNone;
  HttpServer server(loop, HttpServerLimits(), [&](HttpExchange& exchange) {
    bool is_reading = true;
    FiberEvent changed;
    loop.Spawn([&] {
      auto bytes = exchange.ReadBody(SteadyNow() + kBodyTimeout);
      while (bytes && !bytes->empty()) {
        bytes = exchange.ReadBody(SteadyNow() + kBodyTimeout);
      }
      is_reading = false;
      changed.Notify();
    });
    HttpResponseHead head;
    head.m_status = 503;
    (void)exchange.Respond(head, "refused");
    exchange.StopReadingBody();
    changed.Wait([&] { return !is_reading; });
    error = exchange.body_error();
  });
  ASSERT_FALSE(server.Listen(kServerEndpoint));
  std::atomic<bool> is_done{false};
  std::string response;
  boost::system::error_code end;
  std::thread client([&] {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address(kServerEndpoint.m_address),
                    kServerEndpoint.m_port});
    asio::write(socket,
                asio::buffer(std::string("POST /upload HTTP/1.1\r\nHost: a\r\n"
                                         "Content-Length: 1000000\r\n\r\n")));
    const std::string part(std::size_t{64} * 1024, 'b');
    for (int i = 0; i < 10; ++i) {
      asio::write(socket, asio::buffer(part), end);
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    asio::read(socket, asio::dynamic_buffer(response), end);
    is_done = true;
  });
  RunUntil(is_done, loop, server);
  client.join();
  EXPECT_EQ(error, BodyError::kStopped);
  EXPECT_EQ(end, asio::error::eof);
  EXPECT_EQ(CountOccurrences(response, "HTTP/1.1 503"), 1U) << response;
  EXPECT_EQ(CountOccurrences(response, "refused"), 1U) << response;
}

class EndlessChunkOfAClient : public ::testing::TestWithParam<const char*> {};

// Guards against a client that makes the server buffer bytes which are no part
// of a body, until the process runs out of memory.
TEST_P(EndlessChunkOfAClient, IsClosedAtTheLimit) {
  constexpr std::size_t kMaxWrittenBytes = std::size_t{16} * 1024 * 1024;
  constexpr std::size_t kGiveUpBytes = kMaxWrittenBytes * 4;
  FiberLoop loop;
  bool is_body_read = true;
  HttpServer server(loop, HttpServerLimits(), [&](HttpExchange& exchange) {
    auto bytes = exchange.ReadBody(SteadyNow() + kBodyTimeout);
    while (bytes && !bytes->empty()) {
      bytes = exchange.ReadBody(SteadyNow() + kBodyTimeout);
    }
    is_body_read = bytes.has_value();
  });
  ASSERT_FALSE(server.Listen(kServerEndpoint));
  std::atomic<bool> is_done{false};
  std::size_t written = 0;
  std::thread client([&] {
    RawClient client;
    client.Send(
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        "5\r\nhello\r\n" +
        std::string(GetParam()));
    written = client.SendUntilClosed(std::string(16384, 'a'), kGiveUpBytes);
    is_done = true;
  });
  RunUntil(is_done, loop, server);
  client.join();
  EXPECT_FALSE(is_body_read);
  EXPECT_LT(written, kMaxWrittenBytes);
}

INSTANTIATE_TEST_SUITE_P(Places,
                         EndlessChunkOfAClient,
                         ::testing::Values("", "5;x=", "0\r\nX-Filler: "));

}  // namespace
}  // namespace hemlockpoint
