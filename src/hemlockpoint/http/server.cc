#include "hemlockpoint/http/server.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <unordered_set>
#include <utility>

#include "hemlockpoint/http/beast_fields.h"
#include "hemlockpoint/runtime/await.h"

namespace hemlockpoint {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t kReadBytes = kMaxChunkBytes;
constexpr Millis kSweepPeriod(1000);
constexpr unsigned kHttp11 = 11;

// A connection's socket and what is read from it beyond the current message.
struct Connection {
  explicit Connection(asio::io_context& io) : m_socket(io) {}

  void Close() {
    ErrorCode ignored;
    m_socket.close(ignored);
  }

  tcp::socket m_socket;
  beast::flat_buffer m_buffer;
  // When the connection is closed if the current head is still incomplete.
  Millis m_head_deadline{1e300};
  bool m_idle = true;
  // Counts requests, so that a late watch of an earlier one is ignored.
  std::uint64_t m_request = 0;
};

class Exchange : public HttpExchange {
 public:
  Exchange(std::shared_ptr<Connection> connection,
           const HttpServerLimits& limits)
      : m_connection(std::move(connection)) {
    m_parser.header_limit(limits.m_header_bytes);
    m_parser.body_limit(limits.m_body_bytes);
  }

  // Returns the error that ended the attempt to read a head.
  ErrorCode ReadHead() {
    const IoResult read = AwaitIo([this](auto handler) {
      http::async_read_header(m_connection->m_socket, m_connection->m_buffer,
                              m_parser, std::move(handler));
    });
    if (read.m_error) {
      return read.m_error;
    }
    const auto& message = m_parser.get();
    m_head.m_method = std::string(message.method_string());
    m_head.m_path = std::string(message.target());
    m_head.m_headers = internal::CopyEndToEnd(message);
    if (const auto length = m_parser.content_length()) {
      m_head.m_content_length = *length;
    } else if (!message.chunked()) {
      m_head.m_content_length = 0;
    }
    m_keep_alive = message.keep_alive();
    m_expects_continue =
        beast::iequals(message[http::field::expect], "100-continue");
    return {};
  }

  const HttpRequestHead& head() const override { return m_head; }

  std::optional<std::string> ReadBody() override {
    if (!SendContinue()) {
      return std::nullopt;
    }
    std::string chunk;
    while (chunk.empty() && !m_parser.is_done()) {
      chunk.resize(kReadBytes);
      m_parser.get().body().data = chunk.data();
      m_parser.get().body().size = chunk.size();
      const IoResult read = AwaitIo([this](auto handler) {
        http::async_read_some(m_connection->m_socket, m_connection->m_buffer,
                              m_parser, std::move(handler));
      });
      if (read.m_error && read.m_error != http::error::need_buffer) {
        m_body_too_large = read.m_error == http::error::body_limit;
        m_body_failed = true;
        return std::nullopt;
      }
      chunk.resize(chunk.size() - m_parser.get().body().size);
    }
    return chunk;
  }

  bool body_too_large() const override { return m_body_too_large; }

  void WatchCaller(std::function<void()> gone) override {
    auto connection = m_connection;
    const std::uint64_t request = connection->m_request;
    connection->m_socket.async_wait(
        tcp::socket::wait_read,
        [connection, request, gone = std::move(gone)](ErrorCode error) {
          if (connection->m_request != request) {
            return;
          }
          char byte = 0;
          if (!error) {
            connection->m_socket.receive(asio::buffer(&byte, 1),
                                         tcp::socket::message_peek, error);
          }
          if (error && error != asio::error::would_block) {
            gone();
          }
        });
  }

  bool Respond(const HttpResponseHead& head, std::string_view body) override {
    HttpResponseHead whole = head;
    whole.m_content_length = body.size();
    Begin(whole);
    SetBody(body, false);
    return WriteAll();
  }

  bool StartResponse(const HttpResponseHead& head) override {
    Begin(head);
    const IoResult written = AwaitIo([this](auto handler) {
      http::async_write_header(m_connection->m_socket, *m_serializer,
                               std::move(handler));
    });
    return !written.m_error;
  }

  bool WriteBody(std::string_view bytes) override {
    if (m_head.m_method == "HEAD") {
      return true;
    }
    SetBody(bytes, true);
    return WriteAll();
  }

  bool FinishResponse() override {
    if (m_head.m_method == "HEAD") {
      m_finished = true;
      return true;
    }
    SetBody({}, false);
    return WriteAll();
  }

  void Abort() override {
    m_aborted = true;
    m_connection->Close();
  }

  // Whether the connection can carry another request.
  bool reusable() const {
    return m_finished && m_keep_alive && !m_aborted && !m_body_failed &&
           m_parser.is_done();
  }

 private:
  bool SendContinue() {
    if (!m_expects_continue) {
      return true;
    }
    m_expects_continue = false;
    static constexpr std::string_view kContinue =
        "HTTP/1.1 100 Continue\r\n\r\n";
    const IoResult written = AwaitIo([this](auto handler) {
      asio::async_write(m_connection->m_socket,
                        asio::buffer(kContinue.data(), kContinue.size()),
                        std::move(handler));
    });
    return !written.m_error;
  }

  void Begin(const HttpResponseHead& head) {
    m_response.version(kHttp11);
    m_response.result(head.m_status);
    internal::SetFields(m_response, head.m_headers, head.m_content_length);
    // The unread rest of a body would be taken for the next request.
    m_keep_alive = m_keep_alive && m_parser.is_done();
    m_response.keep_alive(m_keep_alive);
    m_serializer.emplace(m_response);
  }

  void SetBody(std::string_view bytes, bool more) {
    auto& body = m_response.body();
    // The library only reads through the pointer while it writes.
    body.data = bytes.empty() ? nullptr : const_cast<char*>(bytes.data());
    body.size = bytes.size();
    body.more = more;
  }

  bool WriteAll() {
    const bool last = !m_response.body().more;
    const bool head_only = m_head.m_method == "HEAD";
    const IoResult written = AwaitIo([this, head_only](auto handler) {
      if (head_only) {
        http::async_write_header(m_connection->m_socket, *m_serializer,
                                 std::move(handler));
      } else {
        http::async_write(m_connection->m_socket, *m_serializer,
                          std::move(handler));
      }
    });
    const bool ok =
        !written.m_error || written.m_error == http::error::need_buffer;
    m_finished = ok && last;
    return ok;
  }

  std::shared_ptr<Connection> m_connection;
  http::request_parser<http::buffer_body> m_parser;
  HttpRequestHead m_head;
  http::response<http::buffer_body> m_response;
  std::optional<http::response_serializer<http::buffer_body>> m_serializer;
  bool m_keep_alive = false;
  bool m_expects_continue = false;
  bool m_body_too_large = false;
  bool m_body_failed = false;
  bool m_finished = false;
  bool m_aborted = false;
};

// A fault in a request's head that its sender is told of.
std::optional<unsigned> StatusOfHeadError(ErrorCode error) {
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
      auto connection = std::make_shared<Connection>(m_loop.io());
      const IoResult accepted = AwaitIo([&](auto handler) {
        m_acceptor.async_accept(connection->m_socket, std::move(handler));
      });
      if (accepted.m_error) {
        PauseAfterAcceptError();
      } else if (m_connections.size() < m_limits.m_connections) {
        m_connections.insert(connection);
        m_loop.Spawn([self = shared_from_this(), connection] {
          self->Serve(connection);
          connection->Close();
          self->m_connections.erase(connection);
        });
      }
    }
  }

  // Running out of descriptors must not turn into a busy loop.
  void PauseAfterAcceptError() const {
    constexpr Millis kPause(20);
    if (m_acceptor.is_open()) {
      SleepFor(kPause);
    }
  }

  void Serve(const std::shared_ptr<Connection>& connection) {
    ErrorCode ignored;
    connection->m_socket.set_option(tcp::no_delay(true), ignored);
    connection->m_socket.non_blocking(true, ignored);
    bool open = true;
    while (open && !m_draining) {
      open = ServeOne(connection);
      ++connection->m_request;
    }
  }

  bool ServeOne(const std::shared_ptr<Connection>& connection) {
    Exchange exchange(connection, m_limits);
    connection->m_idle = connection->m_buffer.size() == 0;
    if (connection->m_idle && !AwaitFirstByte(*connection)) {
      return false;
    }
    connection->m_idle = false;
    connection->m_head_deadline = SteadyNow() + m_limits.m_head_timeout;
    const ErrorCode error = exchange.ReadHead();
    connection->m_head_deadline = Millis(1e300);
    if (error) {
      RejectHead(*connection, error);
      return false;
    }
    m_handler(exchange);
    return exchange.reusable();
  }

  static bool AwaitFirstByte(Connection& connection) {
    const IoResult ready = AwaitIo([&](auto handler) {
      connection.m_socket.async_wait(
          tcp::socket::wait_read,
          [handler = std::move(handler)](ErrorCode error) mutable {
            handler(error, 0);
          });
    });
    return !ready.m_error;
  }

  static void RejectHead(Connection& connection, ErrorCode error) {
    const auto status = StatusOfHeadError(error);
    if (!status) {
      return;
    }
    http::response<http::string_body> response(
        static_cast<http::status>(*status), kHttp11);
    response.set(http::field::content_type, "application/json");
    response.set("Hemlock-Outcome", "not_run");
    response.body() = R"({"outcome":"not_run","decided_by":"system","reason":")"
                      R"(malformed_request","detail":")" +
                      error.message() + "\"}\n";
    response.keep_alive(false);
    response.prepare_payload();
    (void)AwaitIo([&](auto handler) {
      http::async_write(connection.m_socket, response, std::move(handler));
    });
    ErrorCode ignored;
    connection.m_socket.shutdown(tcp::socket::shutdown_send, ignored);
  }

  void CloseOverdue() {
    const Millis now = SteadyNow();
    for (const auto& connection : m_connections) {
      if (connection->m_head_deadline < now) {
        connection->Close();
      }
    }
  }

  void Drain() {
    m_draining = true;
    ErrorCode ignored;
    m_acceptor.close(ignored);
    for (const auto& connection : m_connections) {
      if (connection->m_idle) {
        connection->Close();
      }
    }
  }

  FiberLoop& m_loop;
  HttpServerLimits m_limits;
  Handler m_handler;
  tcp::acceptor m_acceptor;
  std::unordered_set<std::shared_ptr<Connection>> m_connections;
  bool m_draining = false;
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
    return "cannot listen for HTTP at " + ToText(endpoint) + ": " +
           error.message();
  }
  State* state = m_state.get();
  state->m_loop.Spawn([self = m_state] { self->AcceptLoop(); });
  state->m_loop.SpawnPeriodic(kSweepPeriod,
                              [self = m_state] { self->CloseOverdue(); });
  return std::nullopt;
}

void HttpServer::Drain() {
  m_state->Drain();
}

std::size_t HttpServer::connections() const {
  return m_state->m_connections.size();
}

}  // namespace hemlockpoint
