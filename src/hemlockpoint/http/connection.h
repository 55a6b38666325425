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

#include "hemlockpoint/http/message_parser.h"
#include "hemlockpoint/http/server.h"
#include "hemlockpoint/runtime/await.h"
#include "hemlockpoint/runtime/fiber_event.h"

namespace hemlockpoint::internal {

/// @brief Number of a request on its connection, in the order of arrival.
using RequestIndex = std::uint64_t;

/// @brief Maximum number of requests of one connection that are served at the
/// same time.
inline constexpr std::size_t kMaxPipelinedRequests = 32;

/// @brief A connection that an HTTP server has accepted, and the requests on it
/// that have no complete response yet.
struct HttpConnection {
  explicit HttpConnection(boost::asio::io_context& io) : m_socket(io) {}

  void Close();

  /// @return Whether bytes of a request have arrived that has no complete
  /// response yet.
  [[nodiscard]] bool HasUnansweredRequest() const;

  /// @return Whether the client has sent no request for longer than `timeout`;
  /// false if that is 0.
  [[nodiscard]] bool IsIdleLongerThan(Millis timeout) const;

  /// @brief Records that either side has closed the connection, or that reading
  /// from it failed, and calls the disconnect callbacks of all requests.
  void OnDisconnected();

  /// @brief Waits until the responses to all earlier requests are written.
  /// @return Whether the response to this request may be written.
  [[nodiscard]] bool AwaitTurn(RequestIndex index);

  /// @brief As above, but waits until `until` at most.
  [[nodiscard]] bool AwaitTurn(RequestIndex index, Millis until);

  /// @brief Lets the next request write its response.
  /// @param is_reusable Whether the connection can carry another response.
  void EndTurn(RequestIndex index, bool is_reusable);

  /// @return Whether the next request may be read. Up to
  /// kMaxPipelinedRequests are served at the same time, but only one once the
  /// connection is about to close, because the response to a later request
  /// could come after the close.
  [[nodiscard]] bool can_read_request() const {
    const std::size_t max_pending =
        m_close_after_response ? 1 : kMaxPipelinedRequests;
    return pending_responses() < max_pending;
  }

  [[nodiscard]] std::size_t pending_responses() const {
    return static_cast<std::size_t>(m_next_request - m_next_response);
  }

  boost::asio::ip::tcp::socket m_socket;
  boost::beast::flat_buffer m_buffer;
  /// When the connection is closed if the head being read is still incomplete;
  /// nullopt while no head is being read.
  std::optional<Millis> m_head_deadline;
  /// When the last response ended, or the connection was accepted.
  Millis m_idle_since;
  /// Index of the next request to read.
  RequestIndex m_next_request = 0;
  /// Index of the request whose response may be written.
  RequestIndex m_next_response = 0;
  /// The connection is closed by either side, or reading from it failed.
  bool m_is_disconnected = false;
  /// No further response may follow.
  bool m_is_closing = false;
  /// Set by the server: the connection closes after the response to the last
  /// request that was read, which announces it to the client.
  bool m_close_after_response = false;
  std::map<RequestIndex, std::function<void()>> m_disconnect_callbacks;
  FiberEvent m_changed;
};

/// @brief One request on a server connection, and its response.
class ServerExchange : public HttpExchange,
                       public std::enable_shared_from_this<ServerExchange> {
 public:
  ServerExchange(std::shared_ptr<HttpConnection> connection,
                 const HttpServerLimits& limits);

  /// @brief Reads the head of the next request.
  /// @return The error, or a default-constructed code on success.
  [[nodiscard]] boost::system::error_code ReadRequestHead();

  /// @brief Assigns the request its position in the order of responses.
  void AssignIndex();

  /// @brief Ends the request after its handler has returned. Closes the
  /// connection if the response is incomplete.
  void Finish();

  [[nodiscard]] const HttpRequestHead& head() const override { return m_head; }
  [[nodiscard]] std::optional<std::string> ReadBody(Millis until) override;
  [[nodiscard]] BodyError body_error() const override { return m_body_error; }
  void StopReadingBody() override;
  void SetDisconnectCallback(std::function<void()> callback) override;
  [[nodiscard]] bool IsClientConnected() override;
  bool Respond(const HttpResponseHead& head, std::string_view body) override;
  bool StartResponse(const HttpResponseHead& head) override;
  bool WriteBody(std::string_view bytes) override;
  bool FinishResponse() override;
  void Abort() override;

  /// @return Whether reading this request has ended, so that the head of the
  /// next one can be read.
  [[nodiscard]] bool is_request_read() const {
    return m_parser.is_done() || m_has_handler_returned ||
           m_body_error != BodyError::kNone;
  }
  /// @return Whether another request may follow on the connection.
  [[nodiscard]] bool is_keep_alive() const { return m_keep_alive; }

 private:
  /// @brief Sends the interim response 100 if the client expects it.
  bool SendContinue(Millis until);
  /// @brief Gives up reading the body, unless that has been done.
  std::nullopt_t FailBody(BodyError error);
  /// @brief Waits for the request's turn and sets the head of its response, but
  /// writes nothing.
  bool PrepareResponse(const HttpResponseHead& head);
  void SetResetsOnClose(bool resets);
  /// @param more Whether further bytes of the body follow.
  void SetBody(std::string_view bytes, bool more);
  /// @brief Writes the head, if it is unwritten, and the body bytes that are
  /// set. For a HEAD request only the head is written.
  bool WriteMessage();

  std::shared_ptr<HttpConnection> m_connection;
  MessageParser<true> m_parser;
  HttpRequestHead m_head;
  boost::beast::http::response<boost::beast::http::buffer_body>
      m_response_message;
  std::optional<
      boost::beast::http::response_serializer<boost::beast::http::buffer_body>>
      m_serializer;
  RequestIndex m_request_index = 0;
  bool m_accepts_chunks = true;
  bool m_keep_alive = false;
  bool m_expects_continue = false;
  BodyError m_body_error = BodyError::kNone;
  Millis m_body_silence_timeout;
  /// Filled by the read in progress.
  std::string m_body_part;
  std::shared_ptr<PendingIo> m_body_read;
  bool m_is_response_finished = false;
  bool m_has_handler_returned = false;
};

}  // namespace hemlockpoint::internal

#endif  // HEMLOCKPOINT_HTTP_CONNECTION_H_
