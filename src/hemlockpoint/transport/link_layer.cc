#include "hemlockpoint/transport/link_layer.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/peer/peer_hub.h"
#include "hemlockpoint/wire/codec.h"

namespace hemlockpoint {

namespace {

// Queued bytes above which body chunks wait, so that short messages don't
// stand behind them.
constexpr std::size_t kMaxBufferedBytes = std::size_t{512} * 1024;
constexpr Millis kBufferPoll(0.5);
constexpr Millis kGreetingTimeout(2000);
// A peer that is silent must not fill this process's memory.
constexpr std::size_t kMaxOutboxMessages = 256;
constexpr std::size_t kMaxControlBufferedBytes = std::size_t{4} * 1024 * 1024;
constexpr Millis kOutboxLinkTimeout(400);

using CallTable = std::unordered_map<CallId, std::shared_ptr<CallState>>;

struct LinkInfo {
  bool m_inbound = false;
  bool m_greeted = false;
  NodeId m_peer;
  Endpoint m_endpoint;
  CallTable m_calls;
  std::uint64_t m_last_call = 0;
  Millis m_opened;
};

}  // namespace

struct LinkLayer::State {
  class LinkSender;
  class LinkRequestSender;
  class LinkAnswerSender;

  State(FiberLoop& loop, Hello hello, std::size_t max_calls, LinkEvents events)
      : m_loop(loop),
        m_hello(std::move(hello)),
        m_max_calls(max_calls),
        m_events(std::move(events)),
        m_hub(
            loop.io(),
            {[this](LinkId id, bool inbound) { Opened(id, inbound); },
             [this](LinkId id, std::string_view bytes) { Received(id, bytes); },
             [this](LinkId id) { Closed(id); }}) {}

  bool Send(LinkId id, const Message& message) {
    const std::string bytes = EncodeMessage(message);
    if (!m_hub.Send(id, bytes)) {
      return false;
    }
    ++m_counters.m_messages_sent;
    m_counters.m_bytes_sent += bytes.size();
    return true;
  }

  // Waits until short messages would not be held up by what is queued.
  bool SendBulk(LinkId id, const Message& message) {
    while (m_hub.Buffered(id) > kMaxBufferedBytes) {
      SleepFor(kBufferPoll);
    }
    return Send(id, message);
  }

  void Opened(LinkId id, bool inbound) {
    LinkInfo& link = m_links[id];
    link.m_inbound = inbound;
    link.m_opened = SteadyNow();
    Send(id, m_hello);
  }

  void Closed(LinkId id) {
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
        state->Lose();
      }
    }
  }

  void Received(LinkId id, std::string_view bytes) {
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
      return;
    }
    ++m_counters.m_messages_received;
    m_counters.m_bytes_received += bytes.size();
    Result<Message> message = DecodeMessage(bytes);
    if (!message) {
      Reject(id, found->second, message.reason());
      return;
    }
    if (!found->second.m_greeted) {
      Greet(id, found->second, *message);
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
    m_hub.Close(id);
  }

  void Greet(LinkId id, LinkInfo& link, const Message& message) {
    const Hello* hello = std::get_if<Hello>(&message);
    if (hello == nullptr) {
      Reject(id, link, "message before the greeting");
    } else if (hello->m_version != kProtocolVersion) {
      Reject(id, link, "protocol version " + std::to_string(hello->m_version));
    } else if (hello->m_group != m_hello.m_group) {
      Reject(id, link, "member of another group: " + hello->m_group);
    } else {
      link.m_greeted = true;
      link.m_peer = hello->m_node;
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

  void Handle(LinkId id, LinkInfo& link, CallStart& start);

  void Handle(LinkId id, LinkInfo& link, AnswerStart& answer) {
    const auto found = link.m_calls.find(answer.m_call);
    if (link.m_inbound) {
      Reject(id, link, "answer on an accepted link");
      return;
    }
    if (found == link.m_calls.end()) {
      return;
    }
    CallState& state = *found->second;
    state.m_answer_body.Push(std::move(answer.m_body.m_data));
    answer.m_body.m_data.clear();
    if (answer.m_complete) {
      state.m_answer_body.Finish();
    }
    state.m_answer = std::move(answer);
    state.m_changed.Notify();
    if (state.m_answer->m_complete) {
      Forget(link, state.m_answer->m_call);
    }
  }

  void Handle(LinkId, LinkInfo& link, BodyChunk& chunk) {
    const auto found = link.m_calls.find(chunk.m_call);
    if (found == link.m_calls.end()) {
      return;
    }
    BodyPipe& body = link.m_inbound ? found->second->m_request_body
                                    : found->second->m_answer_body;
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
      state.m_answer_credit.Add(credit.m_bytes);
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
      state->Lose();
    }
  }

  void Remember(LinkInfo& link, CallId call, std::shared_ptr<CallState> state) {
    link.m_calls.emplace(call, std::move(state));
    ++m_calls;
  }

  void Forget(LinkInfo& link, CallId call) {
    m_calls -= link.m_calls.erase(call);
  }

  void ForgetOn(LinkId id, CallId call) {
    const auto found = m_links.find(id);
    if (found != m_links.end()) {
      Forget(found->second, call);
    }
  }

  // Closes links whose peer accepts connections but never greets.
  void CloseSilent() {
    std::vector<LinkId> silent;
    const Millis now = SteadyNow();
    for (const auto& [id, link] : m_links) {
      if (!link.m_greeted && now - link.m_opened > kGreetingTimeout) {
        silent.push_back(id);
      }
    }
    for (const LinkId id : silent) {
      m_hub.Close(id);
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
  PeerHub m_hub;
};

// What both directions of a call on a link share.
class LinkLayer::State::LinkSender {
 public:
  LinkSender(State& layer, LinkId link, CallId call)
      : m_layer(layer), m_link(link), m_call(call) {}

 protected:
  bool SendChunk(SendCredit& credit, std::string bytes, bool complete) {
    if (!bytes.empty() && !credit.Take(bytes.size())) {
      return false;
    }
    BodyChunk chunk;
    chunk.m_call = m_call;
    chunk.m_body.m_data = std::move(bytes);
    chunk.m_complete = complete;
    return m_layer.SendBulk(m_link, chunk);
  }

  void SendAbort(const std::string& reason) {
    m_layer.Send(m_link, CallAbort{m_call, reason});
  }

  State& m_layer;
  LinkId m_link;
  CallId m_call;
};

class LinkLayer::State::LinkRequestSender : public RequestSender,
                                            private LinkSender {
 public:
  LinkRequestSender(State& layer,
                    LinkId link,
                    CallId call,
                    std::shared_ptr<CallState> state)
      : LinkSender(layer, link, call), m_state(std::move(state)) {}

  ~LinkRequestSender() override { m_layer.ForgetOn(m_link, m_call); }

  bool SendBody(std::string bytes, bool complete) override {
    return SendChunk(m_state->m_request_credit, std::move(bytes), complete);
  }

  void Cancel(const std::string& reason) override { SendAbort(reason); }

 private:
  std::shared_ptr<CallState> m_state;
};

class LinkLayer::State::LinkAnswerSender : public AnswerSender,
                                           private LinkSender {
 public:
  LinkAnswerSender(State& layer,
                   LinkId link,
                   CallId call,
                   std::shared_ptr<CallState> state)
      : LinkSender(layer, link, call), m_state(std::move(state)) {}

  ~LinkAnswerSender() override { m_layer.ForgetOn(m_link, m_call); }

  bool SendAnswer(AnswerStart answer) override {
    answer.m_call = m_call;
    return m_layer.Send(m_link, answer);
  }

  bool SendBody(std::string bytes, bool complete) override {
    return SendChunk(m_state->m_answer_credit, std::move(bytes), complete);
  }

  void Cut(const std::string& reason) override { SendAbort(reason); }

  void GrantBody() override {
    m_layer.Send(m_link, BodyCredit{m_call, kBodyWindowBytes});
  }

 private:
  std::shared_ptr<CallState> m_state;
};

void LinkLayer::State::Handle(LinkId id, LinkInfo& link, CallStart& start) {
  if (!link.m_inbound) {
    Reject(id, link, "call on a link that this process opened");
    return;
  }
  if (link.m_calls.count(start.m_call) != 0) {
    Reject(id, link, "call id used twice");
    return;
  }
  const CallId call = start.m_call;
  if (m_calls >= m_max_calls) {
    AnswerStart answer;
    answer.m_call = call;
    answer.m_refusal = RefuseBySignal(Reason::kNodeOverloaded,
                                      {"calls", static_cast<double>(m_calls),
                                       static_cast<double>(m_max_calls)});
    answer.m_refusal->m_node = m_hello.m_node;
    Send(id, answer);
    return;
  }
  auto state = std::make_shared<CallState>();
  state->m_request_body.Push(std::move(start.m_body.m_data));
  start.m_body.m_data.clear();
  if (start.m_complete) {
    state->m_request_body.Finish();
  }
  state->m_request_body.OnConsumed([this, id, call](std::size_t bytes) {
    Send(id, BodyCredit{call, bytes});
  });
  if (start.m_complete) {
    // A body that is here already needs no credit messages.
    state->m_request_body.OnConsumed(nullptr);
  }
  Remember(link, call, state);
  auto sender = std::make_unique<LinkAnswerSender>(*this, id, call, state);
  m_events.m_call({std::move(start), std::move(state), std::move(sender)});
}

LinkLayer::LinkLayer(FiberLoop& loop,
                     Hello hello,
                     std::size_t max_calls,
                     LinkEvents events)
    : m_state(std::make_unique<State>(loop,
                                      std::move(hello),
                                      max_calls,
                                      std::move(events))) {
  loop.SpawnPeriodic(kGreetingTimeout,
                     [state = m_state.get()] { state->CloseSilent(); });
}

LinkLayer::~LinkLayer() = default;

std::optional<std::string> LinkLayer::Listen(const Endpoint& endpoint) {
  return m_state->m_hub.Listen(endpoint);
}

Result<LinkId> LinkLayer::LinkTo(const Endpoint& endpoint, Millis until) {
  State& state = *m_state;
  const auto known = state.m_by_endpoint.find(endpoint);
  LinkId id;
  if (known != state.m_by_endpoint.end()) {
    id = known->second;
  } else {
    id = state.m_hub.Connect(endpoint);
    LinkInfo& link = state.m_links[id];
    link.m_endpoint = endpoint;
    link.m_opened = SteadyNow();
    state.m_by_endpoint[endpoint] = id;
  }
  const auto is_settled = [&state, id] {
    const auto found = state.m_links.find(id);
    return found == state.m_links.end() || found->second.m_greeted;
  };
  if (!is_settled() && !state.m_greeted.WaitUntil(until, is_settled)) {
    return Result<LinkId>::Failure("the peer did not greet in time");
  }
  if (state.m_links.count(id) == 0) {
    return Result<LinkId>::Failure("the peer cannot be reached");
  }
  return id;
}

OutboundCall LinkLayer::StartCall(LinkId link, CallStart start) {
  auto state = std::make_shared<CallState>();
  OutboundCall call;
  call.m_state = state;
  const auto found = m_state->m_links.find(link);
  if (found == m_state->m_links.end()) {
    state->Lose();
    call.m_sender = std::make_unique<State::LinkRequestSender>(*m_state, link,
                                                               CallId(), state);
    return call;
  }
  const CallId id(++found->second.m_last_call);
  start.m_call = id;
  state->m_answer_body.OnConsumed([layer = m_state.get(), link,
                                   id](std::size_t bytes) {
    const auto open = layer->m_links.find(link);
    if (open != layer->m_links.end() && open->second.m_calls.count(id) != 0) {
      layer->Send(link, BodyCredit{id, bytes});
    }
  });
  m_state->Remember(found->second, id, state);
  call.m_sender =
      std::make_unique<State::LinkRequestSender>(*m_state, link, id, state);
  if (!m_state->Send(link, start)) {
    state->Lose();
  }
  return call;
}

bool LinkLayer::Send(LinkId link, const Message& message) {
  return m_state->Send(link, message);
}

void LinkLayer::SendTo(const Endpoint& endpoint, Message message) {
  State& state = *m_state;
  const auto open = state.m_by_endpoint.find(endpoint);
  const bool greeted = open != state.m_by_endpoint.end() &&
                       state.m_links[open->second].m_greeted;
  if (greeted) {
    if (state.m_hub.Buffered(open->second) > kMaxControlBufferedBytes) {
      CloseTo(endpoint);
    } else {
      state.Send(open->second, message);
    }
    return;
  }
  const bool waiting = state.m_outboxes.count(endpoint) != 0;
  std::deque<Message>& outbox = state.m_outboxes[endpoint];
  if (outbox.size() >= kMaxOutboxMessages) {
    outbox.pop_front();
  }
  outbox.push_back(std::move(message));
  if (!waiting) {
    state.m_loop.Spawn([this, endpoint] { EmptyOutbox(endpoint); });
  }
}

void LinkLayer::EmptyOutbox(const Endpoint& endpoint) {
  const Result<LinkId> link =
      LinkTo(endpoint, SteadyNow() + kOutboxLinkTimeout);
  const auto outbox = m_state->m_outboxes.find(endpoint);
  if (link) {
    for (const Message& message : outbox->second) {
      m_state->Send(*link, message);
    }
  }
  m_state->m_outboxes.erase(outbox);
}

void LinkLayer::Close(LinkId link) {
  m_state->m_hub.Close(link);
}

void LinkLayer::CloseTo(const Endpoint& endpoint) {
  const auto found = m_state->m_by_endpoint.find(endpoint);
  if (found != m_state->m_by_endpoint.end()) {
    const LinkId id = found->second;
    m_state->m_hub.Close(id);
    // The peer may be silent, so its answer to the close isn't awaited.
    m_state->Closed(id);
  }
}

void LinkLayer::Shutdown() {
  m_state->m_hub.Shutdown();
}

const LinkCounters& LinkLayer::counters() const {
  return m_state->m_counters;
}

std::size_t LinkLayer::calls() const {
  return m_state->m_calls;
}

std::size_t LinkLayer::links() const {
  return m_state->m_links.size();
}

}  // namespace hemlockpoint
