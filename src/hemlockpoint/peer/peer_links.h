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

/// @brief Called on the io_context's thread; the functions must not wait.
struct PeerLinkEvents {
  std::function<void(LinkId, bool inbound)> m_opened;
  std::function<void(LinkId, std::string_view bytes)> m_received;
  /// Called once for each link that Connect() returned or that was opened.
  std::function<void(LinkId)> m_closed;
};

/// @brief WebSocket links to other processes of the system, each carrying
/// binary messages in order.
class PeerLinks {
 public:
  PeerLinks(boost::asio::io_context& io, PeerLinkEvents events);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// @brief Accepts links at a local endpoint.
  /// @return Why listening failed, or nothing.
  [[nodiscard]] std::optional<std::string> Listen(const Endpoint& endpoint);

  /// @brief Starts a link; its end is told by PeerLinkEvents.
  [[nodiscard]] LinkId Connect(const Endpoint& endpoint);

  /// @brief Queues one message.
  /// @return Whether the link was open and the message was queued.
  bool Send(LinkId link, const std::string& bytes);

  /// @return Bytes queued on the link and not yet given to the kernel.
  [[nodiscard]] std::size_t BufferedBytes(LinkId link) const;

  /// @brief Ends a link; m_closed follows.
  void Close(LinkId link);

  /// @brief Stops listening and ends every link.
  void Shutdown();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_PEER_PEER_LINKS_H_
