#include "hemlockpoint/http/client.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <limits>
#include <string_view>
#include <utility>
#include <vector>

#include "hemlockpoint/http/beast_fields.h"
#include "hemlockpoint/http/body_buffer.h"
#include "hemlockpoint/http/message_parser.h"
#include "hemlockpoint/runtime/await.h"

namespace hemlockpoint {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr unsigned kHttp11 = 11;
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
// The final head of a response and the interim ones before it. A server that
// sends interim responses without end would otherwise keep the call busy until
// its deadline.
constexpr int kMaxHeadsPerResponse = 16;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
// Servers that state no timeout commonly close an idle connection after 5 s or
// more.
constexpr Millis kDefaultKeepAliveTimeout(4000);
constexpr Millis kKeepAliveMargin(1000);

struct Connection {
  explicit Connection(asio::io_context& io) : m_socket(io) {}
  tcp::socket m_socket;
  beast::flat_buffer m_buffer{internal::kReadBufferBytes};
  Millis m_idle_since;
  // Time for which the server keeps the connection open while it is idle.
  Millis m_keep_alive_timeout = kDefaultKeepAliveTimeout;
};

// Reads the "timeout=N" parameter, in seconds, of a Keep-Alive field. A margin
// is subtracted, because the server counts whole seconds from its own start
// time.
Millis ParseKeepAliveTimeout(std::string_view field) {
  static constexpr std::string_view kKey = "timeout=";
  const std::size_t at = field.find(kKey);
  int seconds = 0;
  if (at == std::string_view::npos ||
      std::from_chars(field.data() + at + kKey.size(),
                      field.data() + field.size(), seconds)
              .ec != std::errc()) {
    return kDefaultKeepAliveTimeout;
  }
  return Max(Millis(seconds * 1000.0) - kKeepAliveMargin, Millis(0));
}

// Whether HTTP has the class of the status (RFC 9110, section 15).
bool IsHttpStatus(unsigned status) {
  return status >= 100 && status < 600;
}

// Whether the server has closed an idle connection or sent unexpected data.
bool IsStale(Connection& connection) {
  char byte = 0;
  ErrorCode error;
  connection.m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                              error);
  return error != asio::error::would_block;
}

}  // namespace

struct HttpClientPool::State {
  State(asio::io_context& io, Endpoint server, std::size_t max_connections)
      : m_io(io),
        m_server(asio::ip::make_address(server.m_address), server.m_port),
        m_max_connections(max_connections) {}

  // Takes the most recently used connection, which the server is least likely
  // to have closed. Returns null if none is usable.
  std::unique_ptr<Connection> TakeIdle(Millis max_idle_time) {
    const Millis now = SteadyNow();
    while (!m_idle.empty()) {
      if (now - m_idle.back()->m_idle_since > max_idle_time) {
        return nullptr;
      }
      std::unique_ptr<Connection> connection = std::move(m_idle.back());
      m_idle.pop_back();
      const bool expired =
          now - connection->m_idle_since > connection->m_keep_alive_timeout;
      if (!expired && !IsStale(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  void DropExpired() {
    const Millis now = SteadyNow();
    m_idle.erase(std::remove_if(m_idle.begin(), m_idle.end(),
                                [now](const auto& connection) {
                                  return now - connection->m_idle_since >
                                         connection->m_keep_alive_timeout;
                                }),
                 m_idle.end());
  }

  Result<std::unique_ptr<Connection>> Connect(Millis timeout) {
    using ConnectResult = Result<std::unique_ptr<Connection>>;
    DropExpired();
    if (m_active_calls + m_idle.size() >= m_max_connections &&
        !m_idle.empty()) {
      // TakeIdle() found no usable connection, so the oldest idle one is closed
      // in favor of a new one.
      m_idle.erase(m_idle.begin());
    }
    if (m_active_calls + m_idle.size() >= m_max_connections) {
      return ConnectResult::Failure("all connections to the server are in use");
    }
    auto connection = std::make_unique<Connection>(m_io);
    // Reset below, because the handler may run after this function has
    // returned.
    auto pending = std::make_shared<Connection*>(connection.get());
    asio::steady_timer timer(m_io, ToChrono(timeout));
    timer.async_wait([pending](ErrorCode error) {
      if (!error && *pending != nullptr) {
        (*pending)->m_socket.close(error);
      }
    });
    const IoResult connected = AwaitIo([&](auto handler) {
      connection->m_socket.async_connect(m_server, std::move(handler));
    });
    *pending = nullptr;
    if (connected.m_error) {
      return ConnectResult::Failure("connecting to the server failed: " +
                                    connected.m_error.message());
    }
    ErrorCode ignored;
    connection->m_socket.set_option(tcp::no_delay(true), ignored);
    connection->m_socket.non_blocking(true, ignored);
    return connection;
  }

  asio::io_context& m_io;
  tcp::endpoint m_server;
  std::size_t m_max_connections;
  std::vector<std::unique_ptr<Connection>> m_idle;
  std::size_t m_active_calls = 0;
};

namespace {

template <typename PoolState>
class Call : public HttpClientCall {
 public:
  Call(std::shared_ptr<PoolState> pool,
       std::unique_ptr<Connection> connection,
       bool is_reused)
      : m_pool(std::move(pool)),
        m_connection(std::move(connection)),
        m_is_reused(is_reused) {
    ++m_pool->m_active_calls;
  }

  ~Call() override {
    --m_pool->m_active_calls;
    // A connection with unread bytes after the response is not reused.
    if (!m_cancelled && m_is_request_sent && m_parser && m_parser->is_done() &&
        m_parser->keep_alive() && m_connection->m_buffer.size() == 0) {
      m_connection->m_idle_since = SteadyNow();
      m_pool->m_idle.push_back(std::move(m_connection));
    }
  }

  bool SendHead(const HttpRequestHead& head,
                std::string_view body,
                bool complete) override {
    m_is_head_request = head.m_method == "HEAD";
    m_request.version(kHttp11);
    m_request.method_string(head.m_method);
    m_request.target(head.m_path);
    std::optional<std::uint64_t> length = head.m_content_length;
    if (complete) {
      length = body.size();
    }
    internal::SetFields(m_request, head.m_headers, length);
    m_request.keep_alive(true);
    m_serializer.emplace(m_request);
    return SendBody(body, complete);
  }

  bool SendBody(std::string_view bytes, bool complete) override {
    auto& body = m_request.body();
    // Beast takes a non-const pointer but does not write through it here.
    body.data = bytes.empty() ? nullptr : const_cast<char*>(bytes.data());
    body.size = bytes.size();
    body.more = !complete;
    const IoResult written = AwaitIo([this](auto handler) {
      http::async_write(m_connection->m_socket, *m_serializer,
                        std::move(handler));
    });
    m_is_request_sent = complete && !written.m_error;
    return !written.m_error || written.m_error == http::error::need_buffer;
  }

  [[nodiscard]] bool is_reused() const override { return m_is_reused; }

  std::optional<HttpResponseHead> ReadHead() override {
    // Nothing follows a response that ends its connection. Asio reports the end
    // of a stream once, so another read would not return.
    if (m_parser && m_parser->is_header_done() && !m_parser->keep_alive()) {
      return std::nullopt;
    }
    if (!ReadFinalHead()) {
      // What follows on the connection isn't the response to a later request.
      Cancel();
      return std::nullopt;
    }
    const auto& message = m_parser->get();
    const auto keep_alive = message[http::field::keep_alive];
    m_connection->m_keep_alive_timeout =
        ParseKeepAliveTimeout({keep_alive.data(), keep_alive.size()});
    HttpResponseHead head;
    head.m_status = message.result_int();
    head.m_headers = internal::CopyEndToEndFields(message);
    if (const auto length = m_parser->content_length()) {
      head.m_content_length = *length;
    } else if (m_parser->is_done()) {
      head.m_content_length = 0;
    }
    return head;
  }

  std::optional<std::string> ReadBody() override {
    std::string chunk;
    while (chunk.empty() && !m_parser->is_done()) {
      chunk.resize(
          internal::BodyBufferSize(m_parser->content_length_remaining()));
      m_parser->get().body().data = chunk.data();
      m_parser->get().body().size = chunk.size();
      const IoResult read = AwaitIo([this](auto handler) {
        http::async_read_some(m_connection->m_socket, m_connection->m_buffer,
                              *m_parser, std::move(handler));
      });
      if (read.m_error && read.m_error != http::error::need_buffer) {
        return std::nullopt;
      }
      chunk.resize(chunk.size() - m_parser->get().body().size);
    }
    if (m_parser->is_done() && m_parser->need_eof() && !IsRequestTaken()) {
      return std::nullopt;
    }
    return chunk;
  }

  void Cancel() override {
    m_cancelled = true;
    ErrorCode ignored;
    m_connection->m_socket.close(ignored);
  }

 private:
  // Reads heads up to that of a final response. Returns whether it is valid.
  bool ReadFinalHead() {
    for (int heads = 0; heads < kMaxHeadsPerResponse; ++heads) {
      m_parser.emplace();
      m_parser->header_limit(kMaxHeaderBytes);
      m_parser->body_limit(std::numeric_limits<std::uint64_t>::max());
      m_parser->skip(m_is_head_request);
      const IoResult read = AwaitIo([this](auto handler) {
        http::async_read_header(m_connection->m_socket, m_connection->m_buffer,
                                *m_parser, std::move(handler));
      });
      const unsigned status = m_parser->get().result_int();
      // No request asks for another protocol.
      if (read.m_error || !IsHttpStatus(status) ||
          status == kSwitchingProtocols) {
        return false;
      }
      if (status >= kFirstFinalStatus) {
        return true;
      }
    }
    return false;
  }

  // Whether the server's system has received the whole request. A server that
  // closes the connection earlier is about to reset it, and may have been cut
  // off in the middle of its response.
  bool IsRequestTaken() const {
    int unacknowledged_bytes = 0;
    const int result = ::ioctl(m_connection->m_socket.native_handle(), SIOCOUTQ,
                               &unacknowledged_bytes);
    return m_is_request_sent && (result != 0 || unacknowledged_bytes == 0);
  }

  std::shared_ptr<PoolState> m_pool;
  std::unique_ptr<Connection> m_connection;
  http::request<http::buffer_body> m_request;
  std::optional<http::request_serializer<http::buffer_body>> m_serializer;
  std::optional<internal::MessageParser<false>> m_parser;
  bool m_is_reused;
  bool m_is_head_request = false;
  bool m_is_request_sent = false;
  bool m_cancelled = false;
};

}  // namespace

HttpClientPool::HttpClientPool(asio::io_context& io,
                               Endpoint server,
                               std::size_t max_connections)
    : m_state(std::make_shared<State>(io, std::move(server), max_connections)) {
}

HttpClientPool::~HttpClientPool() {
  CloseIdle();
}

Result<std::unique_ptr<HttpClientCall>> HttpClientPool::Open(
    Millis timeout,
    Millis max_idle_time) {
  using CallResult = Result<std::unique_ptr<HttpClientCall>>;
  // The pool may be destroyed while it connects.
  const std::shared_ptr<State> state = m_state;
  std::unique_ptr<Connection> connection = state->TakeIdle(max_idle_time);
  const bool is_reused = connection != nullptr;
  if (!connection) {
    auto connected = state->Connect(timeout);
    if (!connected) {
      return CallResult::Failure(connected.reason());
    }
    connection = std::move(*connected);
  }
  std::unique_ptr<HttpClientCall> call =
      std::make_unique<Call<State>>(state, std::move(connection), is_reused);
  return call;
}

void HttpClientPool::CloseIdle() {
  m_state->m_idle.clear();
}

std::size_t HttpClientPool::active_calls() const {
  return m_state->m_active_calls;
}

}  // namespace hemlockpoint
