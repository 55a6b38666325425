#include "hemlockpoint/http/server.h"

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <unordered_set>
#include <utility>

#include "hemlockpoint/http/connection.h"
#include "hemlockpoint/log/log.h"
#include "hemlockpoint/runtime/await.h"

namespace hemlockpoint {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using internal::HttpConnection;
using internal::ServerExchange;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr Millis kTimeoutCheckPeriod(500);
constexpr unsigned kHttp11 = 11;
constexpr unsigned kServiceUnavailable = 503;
// Whole seconds are valid for all clients.
constexpr const char* kRetryAfterSeconds = "1";
// Time in which the client must close its side after the last response.
constexpr Millis kLingerTimeout(1000);
constexpr Millis kLingerPollPeriod(50);

// Returns the status of the response to an error in a request's head, or
// nullopt if the error allows no response.
std::optional<unsigned> StatusForHeadError(ErrorCode error) {
  if (error == http::error::header_limit) {
    return 431;
  }
  if (error == http::error::body_limit) {
    return 413;
  }
  const bool parse_error =
      error.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream;
  if (parse_error && error != http::error::partial_message) {
    return 400;
  }
  return std::nullopt;
}

}  // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
  State(FiberLoop& loop, HttpServerLimits limits, Handler handler)
      : m_loop(loop),
        m_limits(limits),
        m_handler(std::move(handler)),
        m_acceptor(loop.io()) {}

  void AcceptLoop() {
    while (m_acceptor.is_open()) {
      auto connection = std::make_shared<HttpConnection>(m_loop.io());
      const IoResult accepted = AwaitIo([&](auto handler) {
        m_acceptor.async_accept(connection->m_socket, std::move(handler));
      });
      if (accepted.m_error) {
        PauseAfterAcceptError(accepted.m_error);
      } else {
        StartServing(connection);
      }
    }
  }

  void StartServing(const std::shared_ptr<HttpConnection>& connection) {
    const bool has_stack =
        m_loop.HasStackFor(m_limits.m_connection_work, m_connections.size());
    if (m_connections.size() >= m_limits.m_connections || !has_stack) {
      LogLine(LogLevel::kWarning, "connection_rejected")
          .With("reason", has_stack ? "limits.connections" : "stack memory")
          .With("connections", static_cast<std::uint64_t>(m_connections.size()))
          .With("fibers", static_cast<std::uint64_t>(m_loop.fibers()));
      return;
    }
    m_connections.insert(connection);
    connection->m_idle_since = SteadyNow();
    connection->m_close_after_response = m_close_after_responses;
    m_loop.Spawn([self = shared_from_this(), connection] {
      self->Serve(connection);
      connection->Close();
      self->m_connections.erase(connection);
    });
  }

  // Accepts the connections that clients have opened already. Closing the
  // acceptor would reset them, with requests that are on their way.
  void AcceptWaiting() {
    ErrorCode error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
      auto connection = std::make_shared<HttpConnection>(m_loop.io());
      m_acceptor.accept(connection->m_socket, error);
      if (!error) {
        StartServing(connection);
      }
    }
  }

  // A connection that is closing counts as well, until its client has closed
  // its side or Linger() has ended: if the process exited with unread bytes,
  // the connection would be reset, and the client would lose the rest of a
  // response that it is still receiving.
  bool HasUnansweredRequests() const {
    return std::any_of(
        m_connections.begin(), m_connections.end(), [](const auto& connection) {
          return connection->m_is_closing || connection->HasUnansweredRequest();
        });
  }

  // Prevents a busy loop while the process is out of file descriptors.
  void PauseAfterAcceptError(ErrorCode error) const {
    constexpr Millis kPause(20);
    if (m_acceptor.is_open()) {
      LogLine(LogLevel::kWarning, "accept_failed")
          .With("reason", error.message());
      SleepFor(kPause);
    }
  }

  void Serve(const std::shared_ptr<HttpConnection>& connection) {
    ErrorCode ignored;
    connection->m_socket.set_option(tcp::no_delay(true), ignored);
    connection->m_socket.non_blocking(true, ignored);
    bool can_read_more = true;
    while (can_read_more && !connection->m_is_closing) {
      can_read_more = ReadNextRequest(connection);
    }
    // Detects a client that disconnects before the last response is written.
    if (!connection->m_is_closing && !connection->m_is_disconnected &&
        connection->pending_responses() > 0) {
      (void)AwaitFirstByte(*connection);
    }
    connection->m_changed.Wait(
        [&] { return connection->pending_responses() == 0; });
    Linger(*connection);
  }

  // Reads a request and starts its handler. Returns whether another request can
  // follow.
  bool ReadNextRequest(const std::shared_ptr<HttpConnection>& connection) {
    const auto can_proceed = [&] {
      return connection->m_is_closing || connection->can_read_request();
    };
    connection->m_changed.Wait(can_proceed);
    // Nothing would end a wait that begins after the close.
    if (connection->m_is_closing ||
        (connection->m_buffer.size() == 0 && !AwaitFirstByte(*connection))) {
      return false;
    }
    // CloseAfterResponses() may have been called while this fiber waited for
    // the next request.
    connection->m_changed.Wait(can_proceed);
    if (connection->m_is_closing) {
      return false;
    }
    auto exchange = std::make_shared<ServerExchange>(connection, m_limits);
    connection->m_head_deadline = SteadyNow() + m_limits.m_head_timeout;
    const ErrorCode error = exchange->ReadRequestHead();
    connection->m_head_deadline.reset();
    if (error) {
      RespondToHeadError(*connection, error);
      return false;
    }
    if (!m_loop.HasStackFor(m_limits.m_request_work)) {
      LogLine(LogLevel::kWarning, "request_rejected")
          .With("reason", "stack memory")
          .With("fibers", static_cast<std::uint64_t>(m_loop.fibers()));
      RespondWithoutHandler(*connection, kServiceUnavailable, "node_overloaded",
                            "no memory for another stack");
      return false;
    }
    exchange->AssignIndex();
    m_loop.Spawn([self = shared_from_this(), exchange] {
      self->m_handler(*exchange);
      exchange->Finish();
    });
    connection->m_changed.Wait([&] {
      return connection->m_is_closing || exchange->is_request_read();
    });
    return exchange->is_keep_alive();
  }

  // Waits for data from the client. Returns whether some has arrived.
  static bool AwaitFirstByte(HttpConnection& connection) {
    const IoResult ready = AwaitIo([&](auto handler) {
      connection.m_socket.async_wait(
          tcp::socket::wait_read,
          [handler = std::move(handler)](ErrorCode error) mutable {
            handler(error, 0);
          });
    });
    ErrorCode error = ready.m_error;
    if (!error) {
      char byte = 0;
      connection.m_socket.receive(asio::buffer(&byte, 1),
                                  tcp::socket::message_peek, error);
    }
    if (error == asio::error::operation_aborted) {
      return false;
    }
    if (error && error != asio::error::would_block) {
      connection.OnDisconnected();
      return false;
    }
    return !connection.m_is_closing;
  }

  static void RespondToHeadError(HttpConnection& connection, ErrorCode error) {
    const auto status = StatusForHeadError(error);
    if (!status) {
      connection.OnDisconnected();
      return;
    }
    RespondWithoutHandler(connection, *status, "malformed_request",
                          error.message());
  }

  // Responds to the last request of a connection, which was not run, after the
  // responses to earlier ones.
  static void RespondWithoutHandler(HttpConnection& connection,
                                    unsigned status,
                                    const std::string& reason,
                                    const std::string& detail) {
    connection.m_changed.Wait([&] {
      return connection.m_is_closing || connection.pending_responses() == 0;
    });
    http::response<http::string_body> response(
        static_cast<http::status>(status), kHttp11);
    response.set(http::field::content_type, "application/json");
    response.set("Hemlock-Outcome", "not_run");
    if (status == kServiceUnavailable) {
      response.set(http::field::retry_after, kRetryAfterSeconds);
    }
    response.body() =
        R"({"outcome":"not_run","decided_by":"system","reason":")" + reason +
        R"(","detail":")" + detail + "\"}\n";
    response.keep_alive(false);
    response.prepare_payload();
    (void)AwaitIo([&](auto handler) {
      http::async_write(connection.m_socket, response, std::move(handler));
    });
    ErrorCode ignored;
    connection.m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  }

  // Reads and discards data until the client closes its side. Closing a socket
  // with unread data resets the connection, and the client could lose a
  // response that it has not read.
  static void Linger(HttpConnection& connection) {
    const Millis until = SteadyNow() + kLingerTimeout;
    std::array<char, 4096> discarded{};
    while (!connection.m_is_disconnected && SteadyNow() < until) {
      ErrorCode error;
      const std::size_t bytes =
          connection.m_socket.receive(asio::buffer(discarded), 0, error);
      if (error == asio::error::would_block) {
        SleepFor(kLingerPollPeriod);
      } else if (error || bytes == 0) {
        return;
      }
    }
  }

  // Closes connections that have been idle, or reading a head, for too long.
  void CloseTimedOut() {
    const Millis now = SteadyNow();
    for (const auto& connection : m_connections) {
      const bool is_head_late =
          connection->m_head_deadline && *connection->m_head_deadline < now;
      if (is_head_late ||
          connection->IsIdleLongerThan(m_limits.m_idle_timeout)) {
        connection->Close();
      }
    }
  }

  void CloseAfterResponses() {
    m_close_after_responses = true;
    for (const auto& connection : m_connections) {
      connection->m_close_after_response = true;
    }
  }

  void Drain() {
    CloseAfterResponses();
    AcceptWaiting();
    ErrorCode ignored;
    m_acceptor.close(ignored);
    for (const auto& connection : m_connections) {
      if (!connection->HasUnansweredRequest()) {
        connection->Close();
      }
    }
  }

  FiberLoop& m_loop;
  HttpServerLimits m_limits;
  Handler m_handler;
  tcp::acceptor m_acceptor;
  std::unordered_set<std::shared_ptr<HttpConnection>> m_connections;
  bool m_close_after_responses = false;
};

HttpServer::HttpServer(FiberLoop& loop,
                       HttpServerLimits limits,
                       Handler handler)
    : m_state(std::make_shared<State>(loop, limits, std::move(handler))) {}

HttpServer::~HttpServer() = default;

std::optional<std::string> HttpServer::Listen(const Endpoint& endpoint) {
  const tcp::endpoint local(asio::ip::make_address(endpoint.m_address),
                            endpoint.m_port);
  ErrorCode error;
  tcp::acceptor& acceptor = m_state->m_acceptor;
  acceptor.open(local.protocol(), error);
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(local, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    ErrorCode ignored;
    acceptor.close(ignored);
    return "cannot listen for HTTP at " + ToText(endpoint) + ": " +
           error.message();
  }
  State* state = m_state.get();
  state->m_loop.Spawn([self = m_state] { self->AcceptLoop(); });
  state->m_loop.SpawnPeriodic(kTimeoutCheckPeriod,
                              [self = m_state] { self->CloseTimedOut(); });
  return std::nullopt;
}

void HttpServer::SetLimits(const HttpServerLimits& limits) {
  m_state->m_limits = limits;
}

void HttpServer::CloseAfterResponses() {
  m_state->CloseAfterResponses();
}

void HttpServer::Drain() {
  m_state->Drain();
}

bool HttpServer::HasUnansweredRequests() const {
  return m_state->HasUnansweredRequests();
}

std::size_t HttpServer::connections() const {
  return m_state->m_connections.size();
}

}  // namespace hemlockpoint
