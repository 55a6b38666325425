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

/// @brief One request to one server. Used by one fiber; any fiber may cancel
/// it.
class HttpClientCall {
 public:
  virtual ~HttpClientCall() = default;

  /// @brief Writes the head and the first bytes of the body.
  /// @param complete Whether these bytes end the body.
  /// @return Whether the write succeeded.
  virtual bool SendHead(const HttpRequestHead& head,
                        std::string_view body,
                        bool complete) = 0;

  /// @brief Writes further bytes of the body; they may be empty only at its
  /// end.
  /// @param complete Whether these bytes end the body.
  /// @return Whether the write succeeded.
  virtual bool SendBody(std::string_view bytes, bool complete) = 0;

  /// @return Whether the connection has carried an earlier request, so that a
  /// late response to that one may arrive.
  [[nodiscard]] virtual bool is_reused() const = 0;

  /// @brief Reads the head of the next response; skips a few interim responses.
  /// The body of an earlier response must have been read to its end.
  /// @return The head, or nullopt if the connection failed, the head is invalid
  /// or too long, its status is not from 200 to 599, or too many interim
  /// responses came before it. The connection is closed then.
  [[nodiscard]] virtual std::optional<HttpResponseHead> ReadHead() = 0;

  /// @brief Reads more of the response's body.
  /// @return The next bytes; empty at the end; nullopt if the response was
  /// truncated. One that ends with its connection counts as truncated if the
  /// connection ended before the server had received the whole request.
  [[nodiscard]] virtual std::optional<std::string> ReadBody() = 0;

  /// @brief Closes the connection. Pending and later operations fail.
  virtual void Cancel() = 0;
};

/// @brief Pool of persistent connections to one HTTP server.
class HttpClientPool {
 public:
  /// @param max_connections Maximum number of open connections, including idle
  /// ones.
  HttpClientPool(boost::asio::io_context& io,
                 Endpoint server,
                 std::size_t max_connections);
  ~HttpClientPool();
  HttpClientPool(const HttpClientPool&) = delete;
  HttpClientPool& operator=(const HttpClientPool&) = delete;

  /// @brief Takes an idle connection or opens a new one. The pool may be
  /// destroyed meanwhile.
  /// @param timeout Maximum time to connect.
  /// @param max_idle_time Connections that have been idle for longer are not
  /// taken. The server may be closing such a connection, and then it is unknown
  /// whether it has read the request. With a negative time, a new connection is
  /// opened.
  /// @return A call on which nothing has been written, or the error.
  [[nodiscard]] Result<std::unique_ptr<HttpClientCall>> Open(
      Millis timeout,
      Millis max_idle_time = Millis(1e9));

  void CloseIdle();

  /// @return Number of calls that use a connection.
  [[nodiscard]] std::size_t active_calls() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_HTTP_CLIENT_H_
