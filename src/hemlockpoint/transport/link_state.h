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

/// @brief Queued bytes above which body chunks wait, so that short messages
/// don't stand behind them.
inline constexpr std::size_t kSendHighWatermarkBytes = std::size_t{512} * 1024;
inline constexpr Millis kBufferPollPeriod(0.5);
/// @brief Time for a peer to greet after its link has opened.
inline constexpr Millis kHandshakeTimeout(2000);
/// @brief Silence after which a peer is asked for a sign of life: sooner while
/// calls wait for it.
inline constexpr Millis kPingIdleThreshold(1000);
inline constexpr Millis kPingIdleThresholdWithCalls(400);
/// @brief Time for that sign. Packets on a choked link wait half a second
/// each way.
inline constexpr Millis kPingTimeout(1000);
inline constexpr Millis kLivenessCheckPeriod(200);

using CallTable = std::unordered_map<CallId, std::shared_ptr<CallState>>;

/// @brief One link as the layer knows it.
struct LinkInfo {
  bool m_inbound = false;
  bool m_greeted = false;
  NodeId m_peer;
  Endpoint m_endpoint;
  CallTable m_calls;
  std::uint64_t m_last_call = 0;
  Millis m_opened;
  /// When the peer was heard last.
  Millis m_heard;
  /// When a ping was sent that nothing has followed; 0 for none.
  Millis m_ping_sent_at;
  /// Null on links within a failure domain, where bytes are cheap.
  std::unique_ptr<StreamCompressor> m_compressor;
  StreamDecompressor m_decompressor;
};

}  // namespace internal

/// @brief What a link layer holds; its methods run on the loop's thread.
struct LinkManager::State {
  using LinkInfo = internal::LinkInfo;
  class LinkSender;
  class LinkRequestSender;
  class LinkResponseSender;

  State(FiberLoop& loop, Hello hello, std::size_t max_calls, LinkEvents events)
      : m_loop(loop),
        m_hello(std::move(hello)),
        m_max_calls(max_calls),
        m_events(std::move(events)),
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
    const bool compressed =
        link != m_links.end() && link->second.m_compressor != nullptr;
    const std::string bytes = compressed
                                  ? link->second.m_compressor->Compress(encoded)
                                  : FrameUncompressed(encoded);
    if (!m_peer_links.Send(id, bytes)) {
      return false;
    }
    ++m_counters.m_messages_sent;
    m_counters.m_bytes_sent += bytes.size();
    if (compressed) {
      m_counters.m_bytes_between_domains += bytes.size();
      m_counters.m_long_bytes_between_domains +=
          encoded.size() > StreamCompressor::kMaxCompressedBytes ? bytes.size()
                                                                 : 0;
    }
    return true;
  }

  // Waits until short messages would not be held up by what is queued.
  bool SendWithBackpressure(LinkId id, const Message& message) {
    while (m_peer_links.BufferedBytes(id) > internal::kSendHighWatermarkBytes) {
      SleepFor(internal::kBufferPollPeriod);
    }
    return Send(id, message);
  }

  void HandleLinkOpened(LinkId id, bool inbound) {
    LinkInfo& link = m_links[id];
    link.m_inbound = inbound;
    link.m_opened = SteadyNow();
    Send(id, m_hello);
  }

  void HandleLinkClosed(LinkId id) {
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
      return;
    }
    LinkInfo link = std::move(found->second);
    m_links.erase(found);
    if (!link.m_inbound) {
      const auto by_endpoint = m_by_endpoint.find(link.m_endpoint);
      if (by_endpoint != m_by_endpoint.end() && by_endpoint->second == id) {
        m_by_endpoint.erase(by_endpoint);
      }
    }
    m_calls -= link.m_calls.size();
    EndCalls(link);
    m_greeted.Notify();
    if (link.m_greeted) {
      m_events.m_closed(id, link.m_peer);
    }
  }

  static void EndCalls(const LinkInfo& link) {
    for (const auto& [call, state] : link.m_calls) {
      if (link.m_inbound) {
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
    found->second.m_heard = SteadyNow();
    found->second.m_ping_sent_at = Millis(0);
    ++m_counters.m_messages_received;
    m_counters.m_bytes_received += bytes.size();
    const Result<std::string> unpacked =
        found->second.m_decompressor.Decompress(bytes, kMaxMessageBytes);
    if (!unpacked) {
      Reject(id, found->second, unpacked.reason());
      return;
    }
    Result<Message> message = DecodeMessage(*unpacked);
    if (!message) {
      Reject(id, found->second, message.reason());
      return;
    }
    if (!found->second.m_greeted) {
      HandleHandshake(id, found->second, *message);
      return;
    }
    std::visit([&](auto& value) { Handle(id, found->second, value); },
               *message);
  }

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
      Reject(id, link, "message before the greeting");
    } else if (hello->m_version != kProtocolVersion) {
      Reject(id, link, "protocol version " + std::to_string(hello->m_version));
    } else if (hello->m_group != m_hello.m_group) {
      Reject(id, link, "member of another group: " + hello->m_group);
    } else {
      link.m_greeted = true;
      link.m_heard = SteadyNow();
      link.m_peer = hello->m_node;
      if (hello->m_failure_domain != m_hello.m_failure_domain) {
        link.m_compressor = std::make_unique<StreamCompressor>();
      }
      m_greeted.Notify();
    }
  }

  template <typename Other>
  void Handle(LinkId id, LinkInfo& link, Other& message) {
    m_events.m_message(id, link.m_peer, Message(std::move(message)));
  }

  void Handle(LinkId id, LinkInfo& link, Hello&) {
    Reject(id, link, "greeted twice");
  }

  void Handle(LinkId id, LinkInfo&, Ping& ping) {
    if (!ping.m_is_reply) {
      Send(id, Ping{true});
    }
  }

  void Handle(LinkId id, LinkInfo& link, CallStart& start);

  void Handle(LinkId id, LinkInfo& link, ResponseStart& answer) {
    const auto found = link.m_calls.find(answer.m_call);
    if (link.m_inbound) {
      Reject(id, link, "answer on an accepted link");
      return;
    }
    if (found == link.m_calls.end()) {
      return;
    }
    CallState& state = *found->second;
    state.m_response_body.Push(std::move(answer.m_body.m_data));
    answer.m_body.m_data.clear();
    if (answer.m_complete) {
      state.m_response_body.Finish();
    }
    state.m_response = std::move(answer);
    state.m_changed.Notify();
    if (state.m_response->m_complete) {
      Forget(link, state.m_response->m_call);
    }
  }

  void Handle(LinkId, LinkInfo& link, BodyChunk& chunk) {
    const auto found = link.m_calls.find(chunk.m_call);
    if (found == link.m_calls.end()) {
      return;
    }
    BodyPipe& body = link.m_inbound ? found->second->m_request_body
                                    : found->second->m_response_body;
    body.Push(std::move(chunk.m_body.m_data));
    if (chunk.m_complete) {
      body.Finish();
      if (!link.m_inbound) {
        Forget(link, chunk.m_call);
      }
    }
  }

  void Handle(LinkId, LinkInfo& link, BodyCredit& credit) {
    const auto found = link.m_calls.find(credit.m_call);
    if (found == link.m_calls.end()) {
      return;
    }
    CallState& state = *found->second;
    if (link.m_inbound) {
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
    Forget(link, abort.m_call);
    if (link.m_inbound) {
      state->Cancel();
    } else {
      state->MarkLost();
    }
  }

  void Remember(LinkInfo& link, CallId call, std::shared_ptr<CallState> state) {
    link.m_calls.emplace(call, std::move(state));
    ++m_calls;
  }

  void Forget(LinkInfo& link, CallId call) {
    m_calls -= link.m_calls.erase(call);
  }

  void RemoveCallFrom(LinkId id, CallId call) {
    const auto found = m_links.find(id);
    if (found != m_links.end()) {
      Forget(found->second, call);
    }
  }

  // A connection can go silent without an end that anybody tells.
  void CheckLiveness() {
    const Millis now = SteadyNow();
    // A process that stood still has to read first what has come meanwhile.
    const bool stood_still =
        now - m_last_liveness_check > internal::kLivenessCheckPeriod * 4;
    m_last_liveness_check = now;
    std::vector<LinkId> dead;
    for (auto& [id, link] : m_links) {
      if (!link.m_greeted || link.m_inbound) {
        continue;
      }
      if (stood_still) {
        link.m_heard = now;
        link.m_ping_sent_at = Millis(0);
      }
      const Millis limit = link.m_calls.empty()
                               ? internal::kPingIdleThreshold
                               : internal::kPingIdleThresholdWithCalls;
      if (link.m_ping_sent_at != Millis(0)) {
        if (now - link.m_ping_sent_at > internal::kPingTimeout) {
          dead.push_back(id);
        }
      } else if (now - link.m_heard > limit) {
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
  }

  // Closes links whose peer accepts connections but never greets.
  void CloseUnestablished() {
    std::vector<LinkId> silent;
    const Millis now = SteadyNow();
    for (const auto& [id, link] : m_links) {
      if (!link.m_greeted &&
          now - link.m_opened > internal::kHandshakeTimeout) {
        silent.push_back(id);
      }
    }
    for (const LinkId id : silent) {
      m_peer_links.Close(id);
    }
  }

  FiberLoop& m_loop;
  Hello m_hello;
  std::size_t m_max_calls;
  LinkEvents m_events;
  std::unordered_map<LinkId, LinkInfo> m_links;
  std::map<Endpoint, LinkId> m_by_endpoint;
  std::map<Endpoint, std::deque<Message>> m_outboxes;
  FiberEvent m_greeted;
  LinkCounters m_counters;
  std::size_t m_calls = 0;
  Millis m_last_liveness_check;
  PeerLinks m_peer_links;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TRANSPORT_LINK_STATE_H_
