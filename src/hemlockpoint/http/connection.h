#ifndef HEMLOCKPOINT_HTTP_CONNECTION_H_
#define HEMLOCKPOINT_HTTP_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "hemlockpoint/http/server.h"
#include "hemlockpoint/runtime/fiber_event.h"

namespace hemlockpoint::internal {

/// @brief Numbers the requests of one connection in their order.
using RequestIndex = std::uint64_t;

/// @brief Requests of one connection that are served at the same time.
inline constexpr std::size_t kMaxPipelinedRequests = 32;

/// @brief A connection of an HTTP listener, and the requests that came on it
/// and are not answered.
struct HttpConnection {
  explicit HttpConnection(boost::asio::io_context& io) : m_socket(io) {}

  void Close();

  /// @brief Calls what waits for the caller to leave.
  void OnClientDisconnected();

  /// @brief Waits until all earlier requests are answered.
  /// @return Whether a response may be written.
  [[nodiscard]] bool AwaitTurn(RequestIndex ticket);

  /// @brief Ends a request's turn.
  /// @param reusable Whether the connection can carry another response.
  void EndTurn(RequestIndex ticket, bool reusable);

  /// @brief Whether the next request may be read: several are served at the
  /// same time, but none is taken behind another once the connection is to
  /// close, since its answer might come too late.
  [[nodiscard]] bool can_read_request() const {
    const std::size_t most = m_close_after_response ? 1 : kMaxPipelinedRequests;
    return pending_responses() < most;
  }

  [[nodiscard]] std::size_t pending_responses() const {
    return static_cast<std::size_t>(m_next - m_next_response);
  }

  boost::asio::ip::tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
  /// When the connection is closed if the current head is still incomplete.
  Millis m_head_deadline{1e300};
  /// When the last response ended.
  Millis m_idle_since;
  RequestIndex m_next = 0;
  RequestIndex m_next_response = 0;
  /// The caller has left, or sent what can't be read.
  bool m_caller_gone = false;
  /// No further response may follow.
  bool m_is_closing = false;
  /// Set by the listener: responses announce that the connection closes.
  bool m_close_after_response = false;
  std::map<RequestIndex, std::function<void()>> m_disconnect_callbacks;
  FiberEvent m_changed;
};

/// @brief One request on a connection, and its response.
class ServerExchange : public HttpExchange {
 public:
  ServerExchange(std::shared_ptr<HttpConnection> connection,
                 const HttpServerLimits& limits);

  /// @return The error that ended the attempt to read a head.
  [[nodiscard]] boost::system::error_code ReadRequestHead();

  /// @brief Takes its place in the connection's order.
  void AssignIndex();

  /// @brief Ends the request after its handler has returned.
  void Finish();

  [[nodiscard]] const HttpRequestHead& head() const override { return m_head; }
  [[nodiscard]] std::optional<std::string> ReadBody() override;
  [[nodiscard]] bool body_too_large() const override {
    return m_body_too_large;
  }
  void SetDisconnectCallback(std::function<void()> gone) override;
  bool Respond(const HttpResponseHead& head, std::string_view body) override;
  bool StartResponse(const HttpResponseHead& head) override;
  bool WriteBody(std::string_view bytes) override;
  bool FinishResponse() override;
  void Abort() override;

  /// @return Whether the next request's head can be read.
  [[nodiscard]] bool is_request_read() const {
    return m_parser.is_done() || m_ended || m_body_failed;
  }
  /// @return Whether another request may follow on the connection.
  [[nodiscard]] bool is_keep_alive() const { return m_keep_alive; }

 private:
  bool SendContinue();
  bool Begin(const HttpResponseHead& head);
  void SetBody(std::string_view bytes, bool more);
  bool WriteAll();

  std::shared_ptr<HttpConnection> m_connection;
  boost::beast::http::request_parser<boost::beast::http::buffer_body> m_parser;
  HttpRequestHead m_head;
  boost::beast::http::response<boost::beast::http::buffer_body>
      m_response_message;
  std::optional<
      boost::beast::http::response_serializer<boost::beast::http::buffer_body>>
      m_serializer;
  RequestIndex m_request_index = 0;
  bool m_keep_alive = false;
  bool m_expects_continue = false;
  bool m_body_too_large = false;
  bool m_body_failed = false;
  bool m_finished = false;
  bool m_ended = false;
};

}  // namespace hemlockpoint::internal

#endif  // HEMLOCKPOINT_HTTP_CONNECTION_H_
