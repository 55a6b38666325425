#ifndef HEMLOCKPOINT_HTTP_SERVER_H_
#define HEMLOCKPOINT_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/http/heads.h"
#include "hemlockpoint/runtime/fiber_loop.h"

namespace hemlockpoint {

/// @brief Bounds of an HTTP listener.
struct HttpServerLimits {
  std::uint32_t m_header_bytes = 16 * 1024;
  std::uint64_t m_body_bytes = std::uint64_t{64} * 1024 * 1024;
  std::size_t m_connections = 4096;
  /// Time for a caller to send a request's head once it has begun.
  Millis m_head_timeout{10'000};
  /// Time after which a connection without a request is closed; 0 for never.
  Millis m_idle_timeout;
};

/// @brief One request and its response; used on the request's fiber. Responses
/// leave in the order of the requests, so writing one waits for those before.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual const HttpRequestHead& head() const = 0;

  /// @brief Reads more of the request's body.
  /// @return The next bytes; empty at the end; nothing when the caller's
  /// connection or its framing failed, or the body is over the bound.
  [[nodiscard]] virtual std::optional<std::string> ReadBody() = 0;

  /// @return Whether ReadBody() failed because the body is over the bound.
  [[nodiscard]] virtual bool body_too_large() const = 0;

  /// @brief Calls `gone` once if the caller closes its connection before the
  /// response was finished. Called after the whole body was read.
  virtual void SetDisconnectCallback(std::function<void()> gone) = 0;

  /// @brief Sends a whole response.
  /// @return Whether it was written.
  virtual bool Respond(const HttpResponseHead& head, std::string_view body) = 0;

  /// @brief Starts a streamed response; chunked when no length is stated.
  virtual bool StartResponse(const HttpResponseHead& head) = 0;
  virtual bool WriteBody(std::string_view bytes) = 0;
  virtual bool FinishResponse() = 0;

  /// @brief Closes the connection with the response unfinished, so that a cut
  /// body cannot look whole.
  virtual void Abort() = 0;
};

/// @brief Accepts HTTP/1.1 connections. Requests without a body that arrive
/// before earlier ones are answered are served at the same time.
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange&)>;

  /// @param handler Called for each request on a fiber of its own. A handler
  /// that returns without a response closes the connection.
  HttpServer(FiberLoop& loop, HttpServerLimits limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @return Why listening failed, or nothing.
  [[nodiscard]] std::optional<std::string> Listen(const Endpoint& endpoint);

  /// @brief Changes the bounds for requests that begin from now on.
  void SetLimits(const HttpServerLimits& limits);

  /// @brief Goes on accepting, but closes each connection after its current
  /// response.
  void CloseAfterResponses();

  /// @brief Accepts no more connections, closes idle ones and closes the
  /// others after their current response.
  void Drain();

  /// @return Open connections.
  [[nodiscard]] std::size_t connections() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_HTTP_SERVER_H_
