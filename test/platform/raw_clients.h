#ifndef HEMLOCKPOINT_TEST_PLATFORM_RAW_CLIENTS_H_
#define HEMLOCKPOINT_TEST_PLATFORM_RAW_CLIENTS_H_

#include <functional>
#include <string>
#include <vector>

#include "platform/two_nodes.h"

namespace hemlockpoint::platform {

/// @brief How a target closes a connection.
enum class Close { kOrderly, kReset };

inline void CloseSocket(tcp::socket& socket, Close close) {
  boost::system::error_code ignored;
  if (close == Close::kReset) {
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  socket.close(ignored);
}

/// @brief What a client has received up to the end of its connection.
struct ClientView {
  std::string m_response;
  boost::system::error_code m_error;

  [[nodiscard]] std::string Status() const {
    return m_response.size() < 12 ? m_response : m_response.substr(9, 3);
  }
  [[nodiscard]] std::string Body() const {
    const std::size_t at = m_response.find("\r\n\r\n");
    return at == std::string::npos ? "" : m_response.substr(at + 4);
  }
  [[nodiscard]] bool Has(const std::string& text) const {
    return m_response.find(text) != std::string::npos;
  }
};

/// @brief Clients that send requests byte by byte as given. Routes: /a/ unsafe,
/// /s/ safe.
class RawClients : public TwoNodes {
 protected:
  explicit RawClients(const char* address) : TwoNodes(address) {
    RouteDocument document = MakeDocument();
    Route safe = document.m_routes.front();
    safe.m_name = RouteName("s");
    safe.m_path_prefix = "/s/";
    safe.m_kind = WorkKind::kSafe;
    document.m_routes.push_back(safe);
    m_entry_context.m_route_table = MakeRouteTable(document);
    m_target_context.m_route_table = MakeRouteTable(document);
  }

  std::vector<ClientView> Fetch(const std::vector<std::string>& clients) {
    return Fetch(clients, m_http_endpoint);
  }

  // Sends the bytes of each client to a node on a connection of its own, one
  // after the other, and reads up to the end of the connection. Calls
  // `on_first_bytes` once an answer has begun to arrive.
  static std::vector<ClientView> Fetch(
      const std::vector<std::string>& clients,
      const Endpoint& node,
      const std::function<void()>& on_first_bytes = [] {}) {
    std::vector<ClientView> views;
    std::atomic<bool> is_done{false};
    std::thread thread([&] {
      asio::io_context io;
      for (const std::string& bytes : clients) {
        tcp::socket socket(io);
        socket.connect({asio::ip::make_address(node.m_address), node.m_port});
        Write(socket, bytes);
        ClientView& view = views.emplace_back();
        asio::read(socket, asio::dynamic_buffer(view.m_response),
                   asio::transfer_at_least(1), view.m_error);
        if (!view.m_error) {
          on_first_bytes();
          asio::read(socket, asio::dynamic_buffer(view.m_response),
                     view.m_error);
        }
      }
      is_done = true;
    });
    while (!is_done) {
      SleepFor(Millis(5));
    }
    thread.join();
    return views;
  }

  static std::string RequestBytes(const std::string& method,
                                  const std::string& path,
                                  const std::string& id,
                                  const std::string& connection = "close",
                                  const std::string& version = "1.1") {
    return method + " " + path + id + " HTTP/" + version +
           "\r\nHost: a\r\nX-Request-Id: " + id +
           "\r\nConnection: " + connection + "\r\n\r\n";
  }
};

}  // namespace hemlockpoint::platform

#endif  // HEMLOCKPOINT_TEST_PLATFORM_RAW_CLIENTS_H_
