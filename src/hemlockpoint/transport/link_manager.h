#ifndef HEMLOCKPOINT_TRANSPORT_LINK_MANAGER_H_
#define HEMLOCKPOINT_TRANSPORT_LINK_MANAGER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/result.h"
#include "hemlockpoint/runtime/fiber_loop.h"
#include "hemlockpoint/transport/call.h"
#include "hemlockpoint/wire/message.h"

namespace hemlockpoint {

/// @brief What the link layer tells its owner. The functions run while no
/// fiber does and must not wait.
struct LinkEvents {
  /// A call for the target beside this node.
  std::function<void(InboundCall)> m_call;
  /// Any message that is not part of a call.
  std::function<void(LinkId, const NodeId& from, const Message&)> m_message;
  /// A link that had been greeted is gone.
  std::function<void(LinkId, const NodeId& peer)> m_closed;
};

/// @brief Counters of a link layer.
struct LinkCounters {
  std::uint64_t m_messages_sent = 0;
  std::uint64_t m_bytes_sent = 0;
  /// Bytes sent to other failure domains, as they went on the wire.
  std::uint64_t m_bytes_between_domains = 0;
  /// Those of them in messages too long to be compressed.
  std::uint64_t m_long_bytes_between_domains = 0;
  std::uint64_t m_messages_received = 0;
  std::uint64_t m_bytes_received = 0;
  std::uint64_t m_rejected_messages = 0;
};

/// @brief Greeted links to other processes, and the calls that run on them.
/// Calls run only on links that their sender opened.
class LinkManager {
 public:
  /// @param hello What this process greets others with.
  /// @param max_calls Calls in progress at most, over all links.
  LinkManager(FiberLoop& loop,
              Hello hello,
              std::size_t max_calls,
              LinkEvents events);
  ~LinkManager();
  LinkManager(const LinkManager&) = delete;
  LinkManager& operator=(const LinkManager&) = delete;

  [[nodiscard]] std::optional<std::string> Listen(const Endpoint& endpoint);

  /// @brief Finds or opens a link and waits until the peer has greeted; used
  /// on a fiber.
  /// @return The link, or why there is none by then.
  [[nodiscard]] Result<LinkId> EnsureLink(const Endpoint& endpoint,
                                          Millis until);

  /// @brief Sends a call. Its state is lost together with the link.
  [[nodiscard]] OutboundCall StartCall(LinkId link, CallStart start);

  /// @brief Sends a message that is not part of a call.
  /// @return Whether the link was open.
  bool Send(LinkId link, const Message& message);

  /// @brief Sends a message that EncodeMessage() has made, for messages that
  /// go to many peers.
  bool SendEncoded(LinkId link, const std::string& message);

  /// @brief Sends a message to an endpoint when a link to it is open, without
  /// waiting. Messages to a peer that can't be reached, or doesn't take them,
  /// are dropped.
  void SendTo(const Endpoint& endpoint, Message message);

  void Close(LinkId link);

  /// @brief Closes the link to an endpoint, and loses its calls.
  void CloseTo(const Endpoint& endpoint);

  /// @brief Closes every link.
  void Shutdown();

  [[nodiscard]] const LinkCounters& counters() const;
  /// @return Calls in progress over all links.
  [[nodiscard]] std::size_t calls() const;
  [[nodiscard]] std::size_t links() const;

 private:
  void FlushOutbox(const Endpoint& endpoint);

  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TRANSPORT_LINK_MANAGER_H_
