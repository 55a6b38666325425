#ifndef HEMLOCKPOINT_HTTP_CLIENT_H_
#define HEMLOCKPOINT_HTTP_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/result.h"
#include "hemlockpoint/http/heads.h"

namespace hemlockpoint {

/// @brief One request to one server; used on one fiber, cancelled from any.
class HttpClientCall {
 public:
  virtual ~HttpClientCall() = default;

  /// @brief Writes the head and the first part of the body.
  /// @param complete No further body follows.
  /// @return Whether all of it was written.
  virtual bool SendHead(const HttpRequestHead& head,
                        std::string_view body,
                        bool complete) = 0;

  /// @brief Writes a further part of the body; empty only when complete.
  virtual bool SendBody(std::string_view bytes, bool complete) = 0;

  /// @return The head of the next response, or nothing when the connection
  /// failed. The body of a response before it has been read.
  [[nodiscard]] virtual std::optional<HttpResponseHead> ReadHead() = 0;

  /// @return The next bytes; empty at the end; nothing when the response was
  /// cut off.
  [[nodiscard]] virtual std::optional<std::string> ReadBody() = 0;

  /// @brief Closes the connection; pending and later operations fail.
  virtual void Cancel() = 0;
};

/// @brief Connections to one HTTP server, reused between requests.
class HttpClientPool {
 public:
  /// @param max_connections Open connections at most, idle ones included.
  HttpClientPool(boost::asio::io_context& io,
                 Endpoint server,
                 std::size_t max_connections);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  /// @brief Takes an idle connection or opens one.
  /// @param timeout Time to connect at most.
  /// @param longest_idle A connection that has been idle for longer is not
  /// taken. Its server may be closing it at this moment, after which nobody
  /// can say whether the request was read.
  /// @return A call on which nothing has been written, or why there is none.
  [[nodiscard]] Result<std::unique_ptr<HttpClientCall>> Open(
      Millis timeout,
      Millis longest_idle = Millis(1e9));

  /// @brief Closes idle connections.
  void CloseIdle();

  /// @return Connections that carry a request.
  [[nodiscard]] std::size_t busy() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_HTTP_CLIENT_H_
