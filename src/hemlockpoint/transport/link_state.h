#ifndef HEMLOCKPOINT_TRANSPORT_LINK_STATE_H_
#define HEMLOCKPOINT_TRANSPORT_LINK_STATE_H_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/peer/peer_links.h"
#include "hemlockpoint/transport/link_manager.h"
#include "hemlockpoint/wire/codec.h"
#include "hemlockpoint/wire/stream_compression.h"

namespace hemlockpoint {

namespace internal {

/// @brief Body chunks wait while a link has more than this number of bytes
/// queued, so that short messages are not delayed behind them.
inline constexpr std::size_t kSendHighWatermarkBytes = std::size_t{512} * 1024;
inline constexpr Millis kBufferPollPeriod(0.5);
/// @brief Time in which a peer must send its Hello after a link has opened.
inline constexpr Millis kHandshakeTimeout(2000);
/// @brief Time without a message after which a peer is sent a ping; shorter
/// while calls are in progress on the link.
inline constexpr Millis kPingIdleThreshold(1000);
inline constexpr Millis kPingIdleThresholdWithCalls(200);
/// @brief Time in which any message must follow a ping. On a congested network
/// path, packets are delayed by half a second in each direction.
inline constexpr Millis kPingTimeout(1000);
/// @brief Time after an unanswered ping from which on a link is closed although
/// calls are in progress on it.
inline constexpr Millis kMaxSilenceWithCalls(10'000);
inline constexpr Millis kLivenessCheckPeriod(100);
/// @brief Time between two liveness checks from which on this process counts as
/// stalled.
inline constexpr Millis kStallThreshold(800);
/// @brief Time without any message after a ping from which on a peer counts as
/// silent. The round trip between failure domains takes a few milliseconds.
inline constexpr Millis kSilentAfterPing(150);

using CallTable = std::unordered_map<CallId, std::shared_ptr<CallState>>;

/// @brief State of one link.
struct LinkInfo {
  /// The peer opened the link.
  bool m_is_inbound = false;
  /// The peer's Hello has arrived and was accepted.
  bool m_is_established = false;
  /// The link is closed once its calls have ended.
  bool m_is_retired = false;
  /// The peer has not responded to a ping in time while calls were in progress.
  bool m_is_silent = false;
  NodeId m_peer;
  Endpoint m_endpoint;
  CallTable m_calls;
  std::uint64_t m_last_call = 0;
  Millis m_opened_at;
  /// When the last message arrived.
  Millis m_last_received_at;
  /// When a ping was sent, if no message has arrived since; 0 otherwise.
  Millis m_ping_sent_at;
  /// Null on links within a failure domain, where bandwidth is cheap.
  std::unique_ptr<StreamCompressor> m_compressor;
  StreamDecompressor m_decompressor;
};

}  // namespace internal

/// @brief State of a LinkManager. All methods run on the thread of its loop.
struct LinkManager::State {
  using LinkInfo = internal::LinkInfo;
  class LinkSender;
  class LinkRequestSender;
  class LinkResponseSender;

  State(FiberLoop& loop,
        Hello hello,
        std::size_t max_calls,
        LinkCallbacks callbacks,
        Millis max_inbound_silence)
      : m_loop(loop),
        m_hello(std::move(hello)),
        m_max_calls(max_calls),
        m_max_inbound_silence(max_inbound_silence),
        m_callbacks(std::move(callbacks)),
        m_peer_links(
            loop.io(),
            {[this](LinkId id, bool inbound) { HandleLinkOpened(id, inbound); },
             [this](LinkId id, std::string_view bytes) {
               HandleBytes(id, bytes);
             },
             [this](LinkId id) { HandleLinkClosed(id); }}) {}

  bool Send(LinkId id, const Message& message) {
    return SendEncoded(id, EncodeMessage(message));
  }

  bool SendEncoded(LinkId id, const std::string& encoded) {
    const auto link = m_links.find(id);
    const bool is_compressed =
        link != m_links.end() && link->second.m_compressor != nullptr;
    const std::string bytes = is_compressed
                                  ? link->second.m_compressor->Compress(encoded)
                                  : FrameUncompressed(encoded);
    if (!m_peer_links.Send(id, bytes)) {
      return false;
    }
    ++m_counters.m_messages_sent;
    m_counters.m_bytes_sent += bytes.size();
    if (is_compressed) {
      m_counters.m_bytes_between_domains += bytes.size();
      m_counters.m_long_bytes_between_domains +=
          encoded.size() > StreamCompressor::kMaxCompressedBytes ? bytes.size()
                                                                 : 0;
    }
    return true;
  }

  // Sends a message once the bytes queued on the link are below the high
  // watermark, unless its call ends first.
  bool SendWithBackpressure(LinkId id,
                            const Message& message,
                            const SendCredit& credit) {
    while (m_peer_links.BufferedBytes(id) > internal::kSendHighWatermarkBytes) {
      if (credit.HasEnded()) {
        return false;
      }
      SleepFor(internal::kBufferPollPeriod);
    }
    return Send(id, message);
  }

  void HandleLinkOpened(LinkId id, bool inbound) {
    LinkInfo& link = m_links[id];
    link.m_is_inbound = inbound;
    link.m_opened_at = SteadyNow();
    Send(id, m_hello);
  }

  void HandleLinkClosed(LinkId id) {
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
      return;
    }
    LinkInfo link = std::move(found->second);
    m_links.erase(found);
    if (!link.m_is_inbound) {
      const auto by_endpoint = m_by_endpoint.find(link.m_endpoint);
      if (by_endpoint != m_by_endpoint.end() && by_endpoint->second == id) {
        m_by_endpoint.erase(by_endpoint);
      }
    }
    m_calls -= link.m_calls.size();
    EndCalls(link);
    m_links_changed.Notify();
    if (link.m_is_established) {
      m_callbacks.m_closed(id, link.m_peer);
    }
  }

  static void EndCalls(const LinkInfo& link) {
    for (const auto& [call, state] : link.m_calls) {
      if (link.m_is_inbound) {
        state->Cancel();
      } else {
        state->MarkLost();
      }
    }
  }

  void HandleBytes(LinkId id, std::string_view bytes) {
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
      return;
    }
    found->second.m_last_received_at = SteadyNow();
    found->second.m_ping_sent_at = Millis(0);
    ++m_counters.m_messages_received;
    m_counters.m_bytes_received += bytes.size();
    const Result<std::string> decompressed =
        found->second.m_decompressor.Decompress(bytes, kMaxMessageBytes);
    if (!decompressed) {
      Reject(id, found->second, decompressed.reason());
      return;
    }
    Result<Message> message = DecodeMessage(*decompressed);
    if (!message) {
      Reject(id, found->second, message.reason());
      return;
    }
    if (!found->second.m_is_established) {
      HandleHandshake(id, found->second, *message);
      return;
    }
    std::visit([&](auto& value) { Handle(id, found->second, value); },
               *message);
  }

  // Closes a link whose peer has sent an invalid message.
  void Reject(LinkId id, const LinkInfo& link, const std::string& reason) {
    ++m_counters.m_rejected_messages;
    LogLine(LogLevel::kWarning, "peer_rejected")
        .With("link", id.value())
        .With("peer", link.m_peer.value())
        .With("reason", reason);
    m_peer_links.Close(id);
  }

  void HandleHandshake(LinkId id, LinkInfo& link, const Message& message) {
    const Hello* hello = std::get_if<Hello>(&message);
    if (hello == nullptr) {
      Reject(id, link, "message before the handshake");
    } else if (hello->m_version != kProtocolVersion) {
      Reject(
          id, link,
          "unsupported protocol version " + std::to_string(hello->m_version));
    } else if (hello->m_group != m_hello.m_group) {
      Reject(id, link, "peer belongs to another group: " + hello->m_group);
    } else {
      link.m_is_established = true;
      m_peer_links.AcceptLongMessages(id);
      link.m_last_received_at = SteadyNow();
      link.m_peer = hello->m_node;
      if (hello->m_failure_domain != m_hello.m_failure_domain) {
        link.m_compressor = std::make_unique<StreamCompressor>();
      }
      m_links_changed.Notify();
    }
  }

  template <typename Other>
  void Handle(LinkId id, LinkInfo& link, Other& message) {
    if (link.m_is_retired) {
      return;
    }
    m_callbacks.m_message(id, link.m_peer, Message(std::move(message)));
  }

  void Handle(LinkId id, LinkInfo& link, Hello&) {
    Reject(id, link, "duplicate hello message");
  }

  void Handle(LinkId id, LinkInfo&, Ping& ping) {
    if (!ping.m_is_reply) {
      Send(id, Ping{true});
    }
  }

  void Handle(LinkId id, LinkInfo& link, CallStart& start);

  void Handle(LinkId id, LinkInfo& link, ResponseStart& response) {
    const auto found = link.m_calls.find(response.m_call);
    if (link.m_is_inbound) {
      Reject(id, link, "received a response on an inbound link");
      return;
    }
    if (found == link.m_calls.end()) {
      return;
    }
    const CallId call = response.m_call;
    const bool is_complete = response.m_complete;
    found->second->SetResponse(std::move(response));
    if (is_complete) {
      RemoveCall(link, call);
    }
  }

  void Handle(LinkId, LinkInfo& link, BodyChunk& chunk) {
    const auto found = link.m_calls.find(chunk.m_call);
    if (found == link.m_calls.end()) {
      return;
    }
    BodyPipe& body = link.m_is_inbound ? found->second->m_request_body
                                       : found->second->m_response_body;
    body.Push(std::move(chunk.m_body.m_data));
    if (chunk.m_complete) {
      body.Finish();
      if (!link.m_is_inbound) {
        RemoveCall(link, chunk.m_call);
      }
    }
  }

  void Handle(LinkId, LinkInfo& link, BodyCredit& credit) {
    const auto found = link.m_calls.find(credit.m_call);
    if (found == link.m_calls.end()) {
      return;
    }
    CallState& state = *found->second;
    if (link.m_is_inbound) {
      state.m_response_credit.Add(credit.m_bytes);
    } else {
      state.GrantRequestBody(credit.m_bytes);
    }
  }

  void Handle(LinkId, LinkInfo& link, CallAbort& abort) {
    const auto found = link.m_calls.find(abort.m_call);
    if (found == link.m_calls.end()) {
      return;
    }
    const std::shared_ptr<CallState> state = found->second;
    RemoveCall(link, abort.m_call);
    if (link.m_is_inbound) {
      state->Cancel();
    } else {
      state->MarkLost();
    }
  }

  void AddCall(LinkInfo& link, CallId call, std::shared_ptr<CallState> state) {
    link.m_calls.emplace(call, std::move(state));
    ++m_calls;
  }

  void RemoveCall(LinkInfo& link, CallId call) {
    m_calls -= link.m_calls.erase(call);
  }

  void RemoveCallFrom(LinkId id, CallId call) {
    const auto found = m_links.find(id);
    if (found != m_links.end()) {
      RemoveCall(found->second, call);
    }
  }

  // Takes no further calls on a link whose peer has not replied to a ping. The
  // process of the peer may only be stalled, with its target at work, so the
  // calls in progress stay, and their owners decide how long they wait.
  void MarkSilent(LinkId id, LinkInfo& link) {
    LogLine(LogLevel::kWarning, "peer_stalled")
        .With("peer", link.m_peer.value())
        .With("calls", static_cast<std::uint64_t>(link.m_calls.size()));
    link.m_is_silent = true;
    link.m_is_retired = true;
    const auto by_endpoint = m_by_endpoint.find(link.m_endpoint);
    if (by_endpoint != m_by_endpoint.end() && by_endpoint->second == id) {
      m_by_endpoint.erase(by_endpoint);
    }
    for (const auto& [call, state] : link.m_calls) {
      state->MarkSilent();
    }
  }

  // Pings idle peers on outbound links and closes links without calls whose
  // peer does not reply, and inbound links whose peer sends no pings. A broken
  // connection may report no error. Also closes retired links without calls.
  void CheckLinks() {
    const Millis now = SteadyNow();
    // After a stall of this process, messages that arrived meanwhile are still
    // unread, so the idle times say nothing about the peers.
    const bool has_stalled =
        now - m_last_liveness_check > internal::kStallThreshold;
    m_last_liveness_check = now;
    std::vector<LinkId> dead;
    std::vector<LinkId> unused;
    for (auto& [id, link] : m_links) {
      if (!link.m_is_established) {
        continue;
      }
      if (link.m_is_retired && link.m_calls.empty()) {
        unused.push_back(id);
        continue;
      }
      if (has_stalled) {
        link.m_last_received_at = now;
        link.m_ping_sent_at = Millis(0);
      }
      if (link.m_is_inbound) {
        if (now - link.m_last_received_at > m_max_inbound_silence) {
          dead.push_back(id);
        }
        continue;
      }
      const Millis idle_threshold = link.m_calls.empty()
                                        ? internal::kPingIdleThreshold
                                        : internal::kPingIdleThresholdWithCalls;
      if (link.m_ping_sent_at != Millis(0)) {
        const Millis silence = now - link.m_ping_sent_at;
        if (silence > (link.m_calls.empty() ? internal::kPingTimeout
                                            : internal::kMaxSilenceWithCalls)) {
          dead.push_back(id);
        } else if (silence > internal::kPingTimeout && !link.m_is_silent) {
          MarkSilent(id, link);
        }
      } else if (now - link.m_last_received_at > idle_threshold) {
        link.m_ping_sent_at = now;
        Send(id, Ping{});
      }
    }
    for (const LinkId id : dead) {
      LogLine(LogLevel::kWarning, "peer_silent")
          .With("peer", m_links[id].m_peer.value())
          .With("calls",
                static_cast<std::uint64_t>(m_links[id].m_calls.size()));
      m_peer_links.Close(id);
      HandleLinkClosed(id);
    }
    for (const LinkId id : unused) {
      m_peer_links.Close(id);
      HandleLinkClosed(id);
    }
  }

  // Closes links whose peer accepts the connection but sends no Hello.
  void CloseUnestablished() {
    std::vector<LinkId> expired;
    const Millis now = SteadyNow();
    for (const auto& [id, link] : m_links) {
      if (!link.m_is_established &&
          now - link.m_opened_at > internal::kHandshakeTimeout) {
        expired.push_back(id);
      }
    }
    for (const LinkId id : expired) {
      m_peer_links.Close(id);
    }
  }

  FiberLoop& m_loop;
  Hello m_hello;
  std::size_t m_max_calls;
  Millis m_max_inbound_silence;
  LinkCallbacks m_callbacks;
  std::unordered_map<LinkId, LinkInfo> m_links;
  std::map<Endpoint, LinkId> m_by_endpoint;
  std::map<Endpoint, std::deque<Message>> m_outboxes;
  // Notified when a link is established or closed.
  FiberEvent m_links_changed;
  LinkCounters m_counters;
  std::size_t m_calls = 0;
  Millis m_last_liveness_check;
  PeerLinks m_peer_links;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TRANSPORT_LINK_STATE_H_
