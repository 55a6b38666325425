#ifndef HEMLOCKPOINT_PEER_PEER_LINKS_H_
#define HEMLOCKPOINT_PEER_PEER_LINKS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/ids.h"

namespace hemlockpoint {

/// @brief Callbacks for the events of links. They run on the thread of the
/// io_context and must not block.
struct PeerLinkCallbacks {
  /// `inbound`: the other process opened the link.
  std::function<void(LinkId, bool inbound)> m_opened;
  std::function<void(LinkId, std::string_view bytes)> m_received;
  /// Called at most once for each link, when it has closed or could not be
  /// opened. An inbound link whose handshake fails is reported only here.
  std::function<void(LinkId)> m_closed;
};

/// @brief WebSocket links to peers, which are other hemlockpoint processes.
/// Each link delivers binary messages in order.
class PeerLinks {
 public:
  PeerLinks(boost::asio::io_context& io, PeerLinkCallbacks callbacks);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// @brief Starts accepting links at a local endpoint.
  /// @return An error message, or nothing on success.
  [[nodiscard]] std::optional<std::string> Listen(const Endpoint& endpoint);

  /// @brief Starts connecting to an endpoint. Success is reported by m_opened,
  /// failure by m_closed.
  [[nodiscard]] LinkId Connect(const Endpoint& endpoint);

  /// @brief Queues one binary message.
  /// @return Whether the link was open and the message was queued.
  bool Send(LinkId link, const std::string& bytes);

  /// @brief Accepts messages of every size. Until then, a link closes at one
  /// that is longer than a handshake.
  void AcceptLongMessages(LinkId link);

  /// @return Bytes queued on the link that have not been written to the socket.
  [[nodiscard]] std::size_t BufferedBytes(LinkId link) const;

  /// @brief Starts to close a link. m_closed is called once it has closed.
  void Close(LinkId link);

  /// @brief Stops listening and starts to close every link, as Close() does.
  void Shutdown();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_PEER_PEER_LINKS_H_
