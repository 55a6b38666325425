#include "hemlockpoint/peer/peer_links.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <unordered_map>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "hemlockpoint/wire/codec.h"

namespace hemlockpoint {

namespace {

constexpr long kOpenTimeoutMillis = 1000;
constexpr long kCloseTimeoutMillis = 500;
constexpr std::size_t kMaxLinks = 4096;
// A handshake has a few names.
constexpr std::size_t kMaxHandshakeBytes = std::size_t{16} * 1024;
// Maximum message size, plus one byte for the compression format.
constexpr std::size_t kMaxFramedBytes = kMaxMessageBytes + 1;

// All handlers run on one thread, so the library's locking is disabled.
template <typename Base>
struct SingleThreaded : Base {
  // The library requires these names.
  // NOLINTBEGIN(readability-identifier-naming)
  using concurrency_type = websocketpp::concurrency::none;
  static constexpr std::size_t max_message_size = kMaxFramedBytes;
  static constexpr long timeout_open_handshake = kOpenTimeoutMillis;
  static constexpr long timeout_close_handshake = kCloseTimeoutMillis;
  static const websocketpp::log::level alog_level =
      websocketpp::log::alevel::none;
  static const websocketpp::log::level elog_level =
      websocketpp::log::elevel::none;
  // NOLINTEND(readability-identifier-naming)
};

using Server = websocketpp::server<SingleThreaded<websocketpp::config::asio>>;
using Client =
    websocketpp::client<SingleThreaded<websocketpp::config::asio_client>>;

// Connection of a link. Exactly one pointer is set: m_accepted for an incoming
// link, m_connected for an outgoing one.
struct Link {
  Server::connection_ptr m_accepted;
  Client::connection_ptr m_connected;
};

template <typename Connection>
void SetNoDelay(Connection& connection) {
  boost::system::error_code ignored;
  connection->get_raw_socket().set_option(boost::asio::ip::tcp::no_delay(true),
                                          ignored);
}

}  // namespace

struct PeerLinks::State {
  template <typename Connection>
  void SetHandlers(LinkId id, Connection& connection, bool inbound) {
    connection->set_max_message_size(kMaxHandshakeBytes);
    connection->set_open_handler(
        [this, id, inbound](auto) { m_callbacks.m_opened(id, inbound); });
    connection->set_message_handler([this, id](auto, auto message) {
      if (m_links.count(id) != 0) {
        m_callbacks.m_received(id, message->get_payload());
      }
    });
    connection->set_close_handler([this, id](auto) { RemoveLink(id); });
    connection->set_fail_handler([this, id](auto) { RemoveLink(id); });
  }

  void RemoveLink(LinkId id) {
    if (m_links.erase(id) != 0) {
      m_callbacks.m_closed(id);
    }
  }

  LinkId NextId() { return LinkId(++m_last_id); }

  // Calls `function` with the incoming or outgoing connection of a link.
  // Returns false if the link does not exist.
  template <typename Function>
  bool WithConnection(LinkId id, Function function) const {
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
      return false;
    }
    const Link link = found->second;
    if (link.m_accepted) {
      function(link.m_accepted);
    } else {
      function(link.m_connected);
    }
    return true;
  }

  PeerLinkCallbacks m_callbacks;
  Server m_server;
  Client m_client;
  std::unordered_map<LinkId, Link> m_links;
  std::uint64_t m_last_id = 0;
};

PeerLinks::PeerLinks(boost::asio::io_context& io, PeerLinkCallbacks callbacks)
    : m_state(std::make_unique<State>()) {
  State* state = m_state.get();
  state->m_callbacks = std::move(callbacks);
  state->m_server.init_asio(&io);
  state->m_server.set_reuse_addr(true);
  state->m_client.init_asio(&io);
  state->m_server.set_tcp_post_init_handler([state](auto handle) {
    auto connection = state->m_server.get_con_from_hdl(handle);
    SetNoDelay(connection);
  });
  state->m_client.set_tcp_post_init_handler([state](auto handle) {
    auto connection = state->m_client.get_con_from_hdl(handle);
    SetNoDelay(connection);
  });
  state->m_server.set_validate_handler([state](auto handle) {
    if (state->m_links.size() >= kMaxLinks) {
      return false;
    }
    const LinkId id = state->NextId();
    auto connection = state->m_server.get_con_from_hdl(handle);
    state->m_links[id] = {connection, nullptr};
    state->SetHandlers(id, connection, true);
    return true;
  });
}

PeerLinks::~PeerLinks() = default;

namespace {

// The library reports a failed bind as "Underlying Transport Error". Binding
// once more gives the error of the system.
std::string DescribeListenError(const boost::asio::ip::tcp::endpoint& local,
                                const websocketpp::lib::error_code& error) {
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(io);
  boost::system::error_code system_error;
  acceptor.open(local.protocol(), system_error);
  if (!system_error) {
    boost::system::error_code ignored;
    acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true),
                        ignored);
    acceptor.bind(local, system_error);
  }
  if (!system_error) {
    acceptor.listen(1, system_error);
  }
  return system_error ? system_error.message() : error.message();
}

}  // namespace

std::optional<std::string> PeerLinks::Listen(const Endpoint& endpoint) {
  websocketpp::lib::error_code error;
  const boost::asio::ip::tcp::endpoint local(
      boost::asio::ip::make_address(endpoint.m_address), endpoint.m_port);
  m_state->m_server.listen(local, error);
  if (!error) {
    m_state->m_server.start_accept(error);
  }
  if (error) {
    return "cannot listen for peers at " + ToText(endpoint) + ": " +
           DescribeListenError(local, error);
  }
  return std::nullopt;
}

LinkId PeerLinks::Connect(const Endpoint& endpoint) {
  const LinkId id = m_state->NextId();
  websocketpp::lib::error_code error;
  auto connection = m_state->m_client.get_connection(
      "ws://" + ToText(endpoint) + "/hemlock/v1/peer", error);
  m_state->m_links[id] = {nullptr, connection};
  if (error) {
    State* state = m_state.get();
    boost::asio::post(state->m_client.get_io_service(),
                      [state, id] { state->RemoveLink(id); });
    return id;
  }
  m_state->SetHandlers(id, connection, false);
  m_state->m_client.connect(connection);
  return id;
}

bool PeerLinks::Send(LinkId link, const std::string& bytes) {
  bool sent = false;
  m_state->WithConnection(link, [&](const auto& connection) {
    sent = !connection->send(bytes, websocketpp::frame::opcode::binary);
  });
  return sent;
}

void PeerLinks::AcceptLongMessages(LinkId link) {
  m_state->WithConnection(link, [](const auto& connection) {
    connection->set_max_message_size(kMaxFramedBytes);
  });
}

std::size_t PeerLinks::BufferedBytes(LinkId link) const {
  std::size_t bytes = 0;
  m_state->WithConnection(link, [&](const auto& connection) {
    bytes = connection->get_buffered_amount();
  });
  return bytes;
}

void PeerLinks::Close(LinkId link) {
  m_state->WithConnection(link, [](const auto& connection) {
    websocketpp::lib::error_code error;
    connection->close(websocketpp::close::status::going_away, "", error);
    if (error) {
      connection->terminate(error);
    }
  });
}

void PeerLinks::Shutdown() {
  websocketpp::lib::error_code ignored;
  if (m_state->m_server.is_listening()) {
    m_state->m_server.stop_listening(ignored);
  }
  std::vector<LinkId> links;
  for (const auto& [id, link] : m_state->m_links) {
    links.push_back(id);
  }
  for (const LinkId id : links) {
    Close(id);
  }
}

}  // namespace hemlockpoint
