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

/// @brief Limits of an HTTP server.
struct HttpServerLimits {
  /// Maximum size of a request's head in bytes.
  std::uint32_t m_header_bytes = 16 * 1024;
  /// Maximum size of a request's body in bytes.
  std::uint64_t m_body_bytes = std::uint64_t{64} * 1024 * 1024;
  /// Maximum number of open connections.
  std::size_t m_connections = 4096;
  /// Time in which a client must send a request's head once it has begun.
  Millis m_head_timeout{10'000};
  /// Longest time in which a client may send nothing of a body that it has
  /// begun to send.
  Millis m_body_silence_timeout{10'000};
  /// Time after which an idle connection is closed; 0 for never.
  Millis m_idle_timeout;
  /// Kinds of work as which connections and requests count where the memory
  /// for stacks is limited.
  FiberWork m_connection_work = FiberWork::kConnection;
  FiberWork m_request_work = FiberWork::kRequest;
};

/// @brief Why the body of a request could not be read to its end.
enum class BodyError : unsigned char {
  kNone,
  /// The connection failed, or the framing is invalid.
  kBroken,
  /// The body exceeds the limit.
  kTooLarge,
  /// The client took too long, or was silent for too long.
  kTimedOut,
  /// StopReadingBody() was called.
  kStopped,
};

/// @brief One request and its response, used by the request's fiber. Responses
/// are written in the order of the requests, so writing one waits for all
/// earlier ones on the connection.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual const HttpRequestHead& head() const = 0;

  /// @brief Reads more of the request's body.
  /// @param until Time as of SteadyNow() at which the wait for the client ends.
  /// @return The next bytes; empty at the end; nullopt if the body can't be
  /// read to its end. The connection then closes after the response.
  [[nodiscard]] virtual std::optional<std::string> ReadBody(Millis until) = 0;

  /// @return Why ReadBody() failed.
  [[nodiscard]] virtual BodyError body_error() const = 0;

  /// @brief Ends a ReadBody() that another fiber waits in, and lets later ones
  /// fail. Has no effect once the whole body was read.
  virtual void StopReadingBody() = 0;

  /// @brief Sets a function that is called once if the client disconnects
  /// before the response is finished; it is called at once if the client
  /// already has. Must be set after the whole body was read.
  virtual void SetDisconnectCallback(std::function<void()> callback) = 0;

  /// @brief Checks the connection without waiting. This notices a client that
  /// left while this process had no time to read from the connection.
  /// @return Whether the client is still connected.
  [[nodiscard]] virtual bool IsClientConnected() = 0;

  /// @brief Sends a complete response.
  /// @return Whether it was written.
  virtual bool Respond(const HttpResponseHead& head, std::string_view body) = 0;

  /// @brief Starts a streamed response. It is chunked if the head states no
  /// length.
  /// @return Whether the head was written.
  virtual bool StartResponse(const HttpResponseHead& head) = 0;
  /// @return Whether the bytes were written.
  virtual bool WriteBody(std::string_view bytes) = 0;
  /// @return Whether the end of the response was written.
  virtual bool FinishResponse() = 0;

  /// @brief Closes the connection before the response is finished, so that the
  /// client can detect a truncated body. Waits for earlier responses.
  virtual void Abort() = 0;
};

/// @brief HTTP/1.1 server with pipelining: the next request on a connection is
/// read once the body of the one before has been, and the two are then served
/// at the same time.
class HttpServer {
 public:
  using Handler = std::function<void(HttpExchange&)>;

  /// @param handler Called for each request on a fiber of its own. If it
  /// returns without a complete response, the connection is closed.
  HttpServer(FiberLoop& loop, HttpServerLimits limits, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Accepts connections at a local endpoint. Can be called again after
  /// an error.
  /// @return The error, or nullopt on success.
  [[nodiscard]] std::optional<std::string> Listen(const Endpoint& endpoint);

  /// @brief Changes the limits. A request whose head is being read, or has
  /// been, keeps the limits that it started with.
  void SetLimits(const HttpServerLimits& limits);

  /// @brief Closes each connection after the response to its last pending
  /// request. The server continues to accept connections.
  void CloseAfterResponses();

  /// @brief Stops accepting connections, closes idle ones and closes the others
  /// after the response to their last pending request.
  void Drain();

  /// @return Whether a client has sent bytes of a request, read or not, that
  /// has no complete response yet, or whether a connection is still closing
  /// after its last response.
  [[nodiscard]] bool HasUnansweredRequests() const;

  /// @return Number of open connections.
  [[nodiscard]] std::size_t connections() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_HTTP_SERVER_H_
