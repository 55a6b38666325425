// Senders for both sides of a call on a link, and how such calls start.

#include "hemlockpoint/transport/link_state.h"

namespace hemlockpoint {

// Common base of the senders of requests and responses.
class LinkManager::State::LinkSender {
 public:
  LinkSender(State& manager, LinkId link, CallId call)
      : m_manager(manager), m_link(link), m_call(call) {}

 protected:
  bool SendChunk(SendCredit& credit, std::string bytes, bool complete) {
    if (!bytes.empty() && !credit.Take(bytes.size())) {
      return false;
    }
    BodyChunk chunk;
    chunk.m_call = m_call;
    chunk.m_body.m_data = std::move(bytes);
    chunk.m_complete = complete;
    return m_manager.SendWithBackpressure(m_link, chunk, credit);
  }

  void SendAbort(const std::string& reason) {
    m_manager.Send(m_link, CallAbort{m_call, reason});
  }

  State& m_manager;
  LinkId m_link;
  CallId m_call;
};

class LinkManager::State::LinkRequestSender : public RequestSender,
                                              private LinkSender {
 public:
  LinkRequestSender(State& manager,
                    LinkId link,
                    CallId call,
                    std::shared_ptr<CallState> state)
      : LinkSender(manager, link, call), m_state(std::move(state)) {}

  ~LinkRequestSender() override { m_manager.RemoveCallFrom(m_link, m_call); }

  bool SendBody(std::string bytes, bool complete) override {
    return SendChunk(m_state->m_request_credit, std::move(bytes), complete);
  }

  void Cancel(const std::string& reason) override { SendAbort(reason); }

 private:
  std::shared_ptr<CallState> m_state;
};

class LinkManager::State::LinkResponseSender : public ResponseSender,
                                               private LinkSender {
 public:
  LinkResponseSender(State& manager,
                     LinkId link,
                     CallId call,
                     std::shared_ptr<CallState> state)
      : LinkSender(manager, link, call), m_state(std::move(state)) {}

  ~LinkResponseSender() override { m_manager.RemoveCallFrom(m_link, m_call); }

  bool SendResponse(ResponseStart response) override {
    response.m_call = m_call;
    return m_manager.Send(m_link, response);
  }

  bool SendBody(std::string bytes, bool complete) override {
    return SendChunk(m_state->m_response_credit, std::move(bytes), complete);
  }

  void Cut(const std::string& reason) override { SendAbort(reason); }

  void GrantInitialCredit() override {
    m_manager.Send(m_link, BodyCredit{m_call, kBodyWindowBytes});
  }

 private:
  std::shared_ptr<CallState> m_state;
};

void LinkManager::State::Handle(LinkId id,
                                internal::LinkInfo& link,
                                CallStart& start) {
  if (!link.m_is_inbound) {
    Reject(id, link, "received a call on an outbound link");
    return;
  }
  if (link.m_calls.count(start.m_call) != 0) {
    Reject(id, link, "duplicate call id");
    return;
  }
  const CallId call = start.m_call;
  if (m_calls >= m_max_calls) {
    ResponseStart response;
    response.m_call = call;
    response.m_refusal = MakeSignalRefusal(
        Reason::kNodeOverloaded, {"calls", static_cast<double>(m_calls),
                                  static_cast<double>(m_max_calls)});
    response.m_refusal->m_node = m_hello.m_node;
    Send(id, response);
    return;
  }
  auto state = std::make_shared<CallState>();
  state->m_request_body.Push(std::move(start.m_body.m_data));
  start.m_body.m_data.clear();
  if (start.m_complete) {
    state->m_request_body.Finish();
  }
  state->m_request_body.SetConsumedCallback(
      [this, id, call](std::size_t bytes) {
        Send(id, BodyCredit{call, bytes});
      });
  if (start.m_complete) {
    // A body that has fully arrived needs no further credit.
    state->m_request_body.SetConsumedCallback(nullptr);
  }
  AddCall(link, call, state);
  auto sender = std::make_unique<LinkResponseSender>(*this, id, call, state);
  m_callbacks.m_call({std::move(start), std::move(state), std::move(sender)});
}

OutboundCall LinkManager::StartCall(LinkId link, CallStart start) {
  auto state = std::make_shared<CallState>();
  OutboundCall call;
  call.m_state = state;
  const auto found = m_state->m_links.find(link);
  if (found == m_state->m_links.end()) {
    state->MarkLost();
    call.m_sender = std::make_unique<State::LinkRequestSender>(*m_state, link,
                                                               CallId(), state);
    return call;
  }
  const CallId id(++found->second.m_last_call);
  start.m_call = id;
  state->m_response_body.SetConsumedCallback([manager = m_state.get(), link,
                                              id](std::size_t bytes) {
    const auto open = manager->m_links.find(link);
    if (open != manager->m_links.end() && open->second.m_calls.count(id) != 0) {
      manager->Send(link, BodyCredit{id, bytes});
    }
  });
  m_state->AddCall(found->second, id, state);
  call.m_sender =
      std::make_unique<State::LinkRequestSender>(*m_state, link, id, state);
  if (!m_state->Send(link, start)) {
    state->MarkLost();
  }
  return call;
}

}  // namespace hemlockpoint
