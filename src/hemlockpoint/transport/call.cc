#include "hemlockpoint/transport/call.h"

#include <utility>

namespace hemlockpoint {

namespace {

class LocalRequestSender : public RequestSender {
 public:
  explicit LocalRequestSender(std::shared_ptr<CallState> state)
      : m_state(std::move(state)) {}

  bool SendBody(std::string bytes, bool complete) override {
    if (!bytes.empty() && !m_state->m_request_credit.Take(bytes.size())) {
      return false;
    }
    m_state->m_request_body.Push(std::move(bytes));
    if (complete) {
      m_state->m_request_body.Finish();
    }
    return true;
  }

  void Cancel(const std::string&) override { m_state->Cancel(); }

 private:
  std::shared_ptr<CallState> m_state;
};

class LocalResponseSender : public ResponseSender {
 public:
  explicit LocalResponseSender(std::shared_ptr<CallState> state)
      : m_state(std::move(state)) {}

  bool SendResponse(ResponseStart response) override {
    if (m_state->m_cancelled) {
      return false;
    }
    m_state->SetResponse(std::move(response));
    return true;
  }

  bool SendBody(std::string bytes, bool complete) override {
    if (!bytes.empty() && !m_state->m_response_credit.Take(bytes.size())) {
      return false;
    }
    m_state->m_response_body.Push(std::move(bytes));
    if (complete) {
      m_state->m_response_body.Finish();
    }
    return !m_state->m_cancelled;
  }

  void Cut(const std::string&) override {
    m_state->m_response_body.MarkTruncated();
  }

  void GrantInitialCredit() override {
    m_state->GrantRequestBody(kBodyWindowBytes);
  }

 private:
  std::shared_ptr<CallState> m_state;
};

}  // namespace

void SendCredit::Add(std::size_t bytes) {
  m_bytes += static_cast<std::int64_t>(bytes);
  m_changed.Notify();
}

void SendCredit::Close() {
  m_is_closed = true;
  m_changed.Notify();
}

bool SendCredit::Take(std::size_t bytes) {
  const auto can_proceed = [this] { return m_is_closed || m_bytes > 0; };
  if (!m_deadline) {
    m_changed.Wait(can_proceed);
  } else if (!can_proceed() && !m_changed.WaitUntil(*m_deadline, can_proceed)) {
    return false;
  }
  m_bytes -= static_cast<std::int64_t>(bytes);
  return !m_is_closed;
}

bool SendCredit::HasEnded() const {
  return m_is_closed || (m_deadline && SteadyNow() >= *m_deadline);
}

void CallState::GrantRequestBody(std::size_t bytes) {
  m_has_request_credit = true;
  m_request_credit.Add(bytes);
  m_changed.Notify();
}

void CallState::Cancel() {
  if (m_cancelled) {
    return;
  }
  m_cancelled = true;
  m_request_body.MarkTruncated();
  m_request_credit.Close();
  m_response_credit.Close();
  if (m_on_cancel) {
    m_on_cancel();
  }
  m_changed.Notify();
}

void CallState::SetResponse(ResponseStart response) {
  m_request_credit.Close();
  m_response_body.Push(std::move(response.m_body.m_data));
  response.m_body.m_data.clear();
  if (response.m_complete) {
    m_response_body.Finish();
  }
  m_response = std::move(response);
  m_changed.Notify();
}

void CallState::MarkCallerGone() {
  m_cancelled = true;
  m_request_credit.Close();
  m_changed.Notify();
}

void CallState::MarkLost() {
  m_is_target_lost = true;
  m_response_body.MarkTruncated();
  m_request_credit.Close();
  m_changed.Notify();
}

void CallState::MarkSilent() {
  m_is_peer_silent = true;
  m_changed.Notify();
}

std::optional<ResponseStart> OutboundCall::AwaitResponse(Millis until) const {
  CallState& state = *m_state;
  (void)state.m_changed.WaitUntil(until, [&state] {
    return state.m_response.has_value() || state.m_is_target_lost ||
           state.m_cancelled;
  });
  return state.m_response;
}

std::optional<ResponseStart> OutboundCall::AwaitResponseOrSilence(
    Millis until) const {
  CallState& state = *m_state;
  (void)state.m_changed.WaitUntil(until, [&state] {
    return state.m_response.has_value() || state.m_is_target_lost ||
           state.m_cancelled || state.m_is_peer_silent;
  });
  return state.m_response;
}

LocalCall MakeLocalCall(CallStart start) {
  auto state = std::make_shared<CallState>();
  LocalCall call;
  state->m_request_body.Push(std::move(start.m_body.m_data));
  start.m_body.m_data.clear();
  if (start.m_complete) {
    state->m_request_body.Finish();
  }
  state->m_request_body.SetConsumedCallback(
      [state = state.get()](std::size_t bytes) {
        state->m_request_credit.Add(bytes);
      });
  state->m_response_body.SetConsumedCallback(
      [state = state.get()](std::size_t bytes) {
        state->m_response_credit.Add(bytes);
      });
  call.m_outbound = {state, std::make_unique<LocalRequestSender>(state)};
  call.m_inbound = {std::move(start), state,
                    std::make_unique<LocalResponseSender>(state)};
  return call;
}

}  // namespace hemlockpoint
