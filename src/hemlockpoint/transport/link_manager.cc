#include "hemlockpoint/transport/link_manager.h"

#include "hemlockpoint/transport/link_state.h"

namespace hemlockpoint {

namespace {

// Bounds the memory used for a peer that does not read its messages.
constexpr std::size_t kMaxOutboxMessages = 256;
constexpr std::size_t kMaxOutboxBufferedBytes = std::size_t{4} * 1024 * 1024;
constexpr Millis kOutboxConnectTimeout(400);

}  // namespace

LinkManager::LinkManager(FiberLoop& loop,
                         Hello hello,
                         std::size_t max_calls,
                         LinkCallbacks callbacks,
                         Millis max_inbound_silence)
    : m_state(std::make_unique<State>(loop,
                                      std::move(hello),
                                      max_calls,
                                      std::move(callbacks),
                                      max_inbound_silence)) {
  loop.SpawnPeriodic(internal::kHandshakeTimeout,
                     [state = m_state.get()] { state->CloseUnestablished(); });
  loop.SpawnPeriodic(internal::kLivenessCheckPeriod,
                     [state = m_state.get()] { state->CheckLinks(); });
}

LinkManager::~LinkManager() = default;

std::optional<std::string> LinkManager::Listen(const Endpoint& endpoint) {
  return m_state->m_peer_links.Listen(endpoint);
}

Result<LinkId> LinkManager::EnsureLink(const Endpoint& endpoint, Millis until) {
  State& state = *m_state;
  const auto known = state.m_by_endpoint.find(endpoint);
  LinkId id;
  if (known != state.m_by_endpoint.end()) {
    id = known->second;
  } else {
    id = state.m_peer_links.Connect(endpoint);
    internal::LinkInfo& link = state.m_links[id];
    link.m_endpoint = endpoint;
    link.m_opened_at = SteadyNow();
    state.m_by_endpoint[endpoint] = id;
  }
  const auto is_settled = [&state, id] {
    const auto found = state.m_links.find(id);
    return found == state.m_links.end() || found->second.m_is_established;
  };
  if (!is_settled() && !state.m_links_changed.WaitUntil(until, is_settled)) {
    return Result<LinkId>::Failure("the peer did not greet in time");
  }
  if (state.m_links.count(id) == 0) {
    return Result<LinkId>::Failure("the peer cannot be reached");
  }
  return id;
}

bool LinkManager::Send(LinkId link, const Message& message) {
  return m_state->Send(link, message);
}

bool LinkManager::SendEncoded(LinkId link, const std::string& encoded) {
  return m_state->SendEncoded(link, encoded);
}

void LinkManager::SendTo(const Endpoint& endpoint, Message message) {
  State& state = *m_state;
  const auto open = state.m_by_endpoint.find(endpoint);
  const bool is_established = open != state.m_by_endpoint.end() &&
                              state.m_links[open->second].m_is_established;
  if (is_established) {
    if (state.m_peer_links.BufferedBytes(open->second) >
        kMaxOutboxBufferedBytes) {
      CloseTo(endpoint);
    } else {
      state.Send(open->second, message);
    }
    return;
  }
  const bool is_connecting = state.m_outboxes.count(endpoint) != 0;
  std::deque<Message>& outbox = state.m_outboxes[endpoint];
  if (outbox.size() >= kMaxOutboxMessages) {
    outbox.pop_front();
  }
  outbox.push_back(std::move(message));
  if (!is_connecting) {
    state.m_loop.Spawn([this, endpoint] { FlushOutbox(endpoint); });
  }
}

void LinkManager::FlushOutbox(const Endpoint& endpoint) {
  const Result<LinkId> link =
      EnsureLink(endpoint, SteadyNow() + kOutboxConnectTimeout);
  const auto outbox = m_state->m_outboxes.find(endpoint);
  if (link) {
    for (const Message& message : outbox->second) {
      m_state->Send(*link, message);
    }
  }
  m_state->m_outboxes.erase(outbox);
}

std::size_t LinkManager::BufferedBytes(LinkId link) const {
  return m_state->m_peer_links.BufferedBytes(link);
}

void LinkManager::Close(LinkId link) {
  m_state->m_peer_links.Close(link);
}

void LinkManager::CloseTo(const Endpoint& endpoint) {
  const auto found = m_state->m_by_endpoint.find(endpoint);
  if (found != m_state->m_by_endpoint.end()) {
    const LinkId id = found->second;
    m_state->m_peer_links.Close(id);
    // Removes the link at once, because an unresponsive peer may never
    // acknowledge the close.
    m_state->HandleLinkClosed(id);
  }
}

void LinkManager::RetireLinkTo(const Endpoint& endpoint) {
  const auto found = m_state->m_by_endpoint.find(endpoint);
  if (found == m_state->m_by_endpoint.end()) {
    return;
  }
  internal::LinkInfo& link = m_state->m_links.at(found->second);
  if (link.m_calls.empty()) {
    CloseTo(endpoint);
    return;
  }
  link.m_is_retired = true;
  m_state->m_by_endpoint.erase(found);
}

std::vector<Endpoint> LinkManager::SilentPeers() const {
  const Millis now = SteadyNow();
  std::vector<Endpoint> peers;
  for (const auto& [endpoint, id] : m_state->m_by_endpoint) {
    const auto link = m_state->m_links.find(id);
    if (link != m_state->m_links.end() &&
        link->second.m_ping_sent_at != Millis(0) &&
        now - link->second.m_ping_sent_at > internal::kSilentAfterPing) {
      peers.push_back(endpoint);
    }
  }
  return peers;
}

void LinkManager::Shutdown() {
  m_state->m_peer_links.Shutdown();
}

const LinkCounters& LinkManager::counters() const {
  return m_state->m_counters;
}

std::size_t LinkManager::CallsTo(const Endpoint& endpoint) const {
  const auto found = m_state->m_by_endpoint.find(endpoint);
  return found == m_state->m_by_endpoint.end()
             ? 0
             : m_state->m_links.at(found->second).m_calls.size();
}

std::size_t LinkManager::calls() const {
  return m_state->m_calls;
}

std::size_t LinkManager::links() const {
  return m_state->m_links.size();
}

}  // namespace hemlockpoint
