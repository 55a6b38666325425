#ifndef HEMLOCKPOINT_TRANSPORT_LINK_MANAGER_H_
#define HEMLOCKPOINT_TRANSPORT_LINK_MANAGER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/result.h"
#include "hemlockpoint/runtime/fiber_loop.h"
#include "hemlockpoint/transport/call.h"
#include "hemlockpoint/wire/message.h"

namespace hemlockpoint {

/// @brief Callbacks of a link manager to its owner. They run outside of all
/// fibers and must not wait.
struct LinkCallbacks {
  /// Called for each inbound call, a call to this node's target.
  std::function<void(InboundCall)> m_call;
  /// Called for each message that is not part of a call.
  std::function<void(LinkId, const NodeId& peer, const Message&)> m_message;
  /// Called when an established link was closed.
  std::function<void(LinkId, const NodeId& peer)> m_closed;
};

/// @brief Counters of a link manager. Bytes are counted as they are on the
/// network, that is, compressed.
struct LinkCounters {
  std::uint64_t m_messages_sent = 0;
  std::uint64_t m_bytes_sent = 0;
  /// Bytes sent to other failure domains.
  std::uint64_t m_bytes_between_domains = 0;
  /// Part of m_bytes_between_domains in messages that were longer than
  /// StreamCompressor::kMaxCompressedBytes.
  std::uint64_t m_long_bytes_between_domains = 0;
  std::uint64_t m_messages_received = 0;
  std::uint64_t m_bytes_received = 0;
  /// Messages, including Hellos, that were malformed, unexpected or not
  /// accepted. Each of them closes its link.
  std::uint64_t m_rejected_messages = 0;
};

/// @brief Default time without a message after which an inbound link is closed.
/// The peer pings its link each second, so it has vanished, or has been paused
/// for longer than any of its calls may take.
inline constexpr Millis kMaxInboundSilence(30'000);

/// @brief Manages the links to other processes and the calls on them. A link
/// is established once the peer's Hello has arrived. A process sends calls
/// only on links that it opened itself.
class LinkManager {
 public:
  /// @param hello Sent as the first message on each link.
  /// @param max_calls Number of calls in progress, inbound and outbound over
  /// all links, from which on inbound calls are refused. Outbound ones are
  /// still sent.
  LinkManager(FiberLoop& loop,
              Hello hello,
              std::size_t max_calls,
              LinkCallbacks callbacks,
              Millis max_inbound_silence = kMaxInboundSilence);
  ~LinkManager();
  LinkManager(const LinkManager&) = delete;
  LinkManager& operator=(const LinkManager&) = delete;

  /// @brief Accepts links at a local endpoint.
  /// @return The error, or nullopt on success.
  [[nodiscard]] std::optional<std::string> Listen(const Endpoint& endpoint);

  /// @brief Finds or opens a link and waits until it is established. Must be
  /// called on a fiber.
  /// @return The link, or the reason why it wasn't established by `until`.
  [[nodiscard]] Result<LinkId> EnsureLink(const Endpoint& endpoint,
                                          Millis until);

  /// @brief Sends a call. The call is lost if the link closes.
  [[nodiscard]] OutboundCall StartCall(LinkId link, CallStart start);

  /// @brief Sends a message that is not part of a call.
  /// @return Whether the message was queued on the link.
  bool Send(LinkId link, const Message& message);

  /// @brief Sends a message that EncodeMessage() has encoded. A message to many
  /// peers is then encoded only once.
  /// @return Whether the message was queued on the link.
  bool SendEncoded(LinkId link, const std::string& encoded);

  /// @brief Sends a message to an endpoint without waiting; opens a link if
  /// there is none. Messages to a peer that is unreachable or too slow are
  /// dropped.
  void SendTo(const Endpoint& endpoint, Message message);

  /// @return Bytes queued on the link that the network hasn't taken yet.
  [[nodiscard]] std::size_t BufferedBytes(LinkId link) const;

  void Close(LinkId link);

  /// @brief Closes the link to an endpoint once the calls on it have ended. It
  /// is used for no further calls, and other messages on it are ignored. The
  /// liveness checks continue, so the calls are lost if the peer is silent.
  void RetireLinkTo(const Endpoint& endpoint);

  /// @return Peers on outbound links that have not replied to a ping for some
  /// time. They may be lost or only slow.
  [[nodiscard]] std::vector<Endpoint> SilentPeers() const;

  /// @brief Closes every link.
  void Shutdown();

  [[nodiscard]] const LinkCounters& counters() const;
  /// @return Number of calls in progress on the link to an endpoint.
  [[nodiscard]] std::size_t CallsTo(const Endpoint& endpoint) const;
  /// @return Number of calls in progress over all links.
  [[nodiscard]] std::size_t calls() const;
  /// @return Number of links, established or not.
  [[nodiscard]] std::size_t links() const;

 private:
  /// @brief Closes the link to an endpoint. The calls on it are lost.
  void CloseTo(const Endpoint& endpoint);

  /// @brief Opens a link and sends the messages queued for its endpoint, or
  /// drops them if the link is not established in time.
  void FlushOutbox(const Endpoint& endpoint);

  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TRANSPORT_LINK_MANAGER_H_
