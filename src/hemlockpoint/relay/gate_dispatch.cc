// How a call is handed to the target, and its answer back.

#include <utility>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/relay/gate_session.h"
#include "hemlockpoint/relay/slot_gate.h"

namespace hemlockpoint {

namespace {

constexpr Millis kConnectTimeout(1000);
// A target that refuses connections is tried again after this time.
constexpr Millis kDownFor(200);
constexpr Millis kRetryAfterTargetRefused(200);
// Non-idempotent work goes only on connections used so recently that their
// server is most unlikely to be closing them.
constexpr Millis kLongestIdleForUnsafe(1500);
// Longer bodies are written while the answer is awaited, since a target may
// answer before it has read them.
constexpr std::size_t kLongBody = std::size_t{16} * 1024;
// Answers up to this size are sent on in one message, and only when whole.
constexpr std::size_t kWholeAnswerBytes = std::size_t{512} * 1024;
constexpr unsigned kServerErrors = 500;
// A call whose caller leaves this close to the deadline has timed out.
constexpr double kTimedOutShare = 0.9;
// The share of failures follows a change within some fifty calls.
constexpr double kPressureGain = 0.02;
// Part of its time that a call may have waited here for its end still to tell
// of the services below.
constexpr double kBriefWait = 0.2;

}  // namespace

void SlotGate::Dispatch(GateSession& session) {
  const Millis begun = SteadyNow();
  auto refusal = Admission(session);
  bool sample = false;
  if (!refusal && !session.cancelled()) {
    refusal = Exchange(session);
    sample = !refusal && session.m_answer_begun;
  }
  if (session.m_writing) {
    // The connection can't be used again before the whole body is written.
    session.m_http->Cancel();
    session.m_changed.Wait([&] { return !session.m_writing; });
  }
  session.m_http.reset();
  const Millis now = SteadyNow();
  const Millis held = now - begun;
  SlotOutcome slot_end;
  slot_end.m_slot_time = held;
  const bool timed_out = held >= (session.m_deadline - begun) * kTimedOutShare;
  // A failure's time says little of the work; one that ran out of time has
  // taken that long at least.
  slot_end.m_is_service_time =
      timed_out || (sample && session.m_status < kServerErrors);
  if (session.m_handed_over && (!session.cancelled() || timed_out)) {
    const bool failed =
        !sample || session.m_status >= kServerErrors || session.cancelled();
    // Only a lack of time tells of an overload; fewer runs don't make a target
    // fail less that fails by itself.
    // Nor does it when the call had waited here until little time was left.
    const bool had_time = begun - session.m_arrival <=
                          (session.m_deadline - session.m_arrival) * kBriefWait;
    if (had_time || !timed_out) {
      slot_end.m_failed = timed_out;
    }
    slot_end.m_nested_congestion = NestedCongestion(m_core, now);
    m_pressure += ((failed ? 1.0 : 0.0) - m_pressure) * kPressureGain;
  }
  ReleaseSlot(m_queue, session.m_slot, slot_end, now);
  if (sample) {
    Record(m_core.m_metrics.m_service_time, held);
  }
  if (refusal && !session.cancelled()) {
    LogLine(LogLevel::kInfo, "gate_refused")
        .With("request_id", session.terms().m_root.value())
        .With("route", session.terms().m_route)
        .With("outcome", ToText(refusal->m_execution))
        .With("reason", ToText(refusal->m_reason))
        .With("signal", refusal->m_signal.m_name)
        .With("value", refusal->m_signal.m_value)
        .With("held_ms", held.value());
    Refuse(session, *refusal);
  }
}

std::optional<Refusal> SlotGate::Exchange(GateSession& session) {
  const CallStart& start = session.m_call.m_start;
  const Millis longest_idle =
      start.m_terms.m_idempotent ? Millis(1e9) : kLongestIdleForUnsafe;
  const std::shared_ptr<HttpClientPool> pool = m_pool;
  auto opened = pool->Open(
      Min(kConnectTimeout, session.m_deadline - SteadyNow()), longest_idle);
  if (!opened) {
    m_down_until = SteadyNow() + kDownFor;
    Refusal refusal =
        RefuseBySignal(Reason::kTargetUnreachable, {opened.reason(), 1, 0});
    refusal.m_retry_after = kDownFor;
    return refusal;
  }
  // The target may have changed, or the caller left, while connecting.
  if (session.cancelled()) {
    return std::nullopt;
  }
  if (auto refusal = Admission(session)) {
    return refusal;
  }
  session.m_http = std::move(*opened);
  HttpRequestHead head;
  head.m_method = start.m_request.m_method;
  head.m_path = start.m_request.m_path;
  head.m_headers = start.m_request.m_headers;
  DispatchTerms terms;
  terms.m_time_left = session.m_deadline - SteadyNow();
  terms.m_instance = m_record.m_current->m_instance;
  terms.m_caller = ServiceName(start.m_terms.m_caller.value());
  m_core.m_dialect.m_write_dispatch(head.m_headers, terms);
  session.m_handed_over = true;
  session.m_handed_over_at = SteadyNow();
  ++m_core.m_metrics.m_dispatched;
  if (session.m_body.size() > kLongBody) {
    session.m_writing = true;
    auto keep = m_sessions[session.m_id];
    m_core.m_loop.Spawn([keep, head, http = session.m_http] {
      (void)http->SendHead(head, keep->m_body, true);
      keep->m_writing = false;
      keep->m_changed.Notify();
    });
  } else if (!session.m_http->SendHead(head, session.m_body, true)) {
    // What the target has answered before it closed can still be read.
    LogLine(LogLevel::kDebug, "request_not_written")
        .With("request_id", start.m_terms.m_root.value());
  }
  const auto answer = AwaitHead(session);
  if (!answer) {
    return Lost(session, "no_answer");
  }
  return RelayAnswer(session, *answer);
}

// Reads the head of the answer to this request; answers to others that come
// before it are read and dropped.
std::optional<HttpResponseHead> SlotGate::AwaitHead(GateSession& session) {
  while (true) {
    auto head = session.m_http->ReadHead();
    if (!head) {
      return std::nullopt;
    }
    const TargetAnswer answer =
        m_core.m_dialect.m_read_answer(*head, session.terms().m_root);
    if (!answer.m_is_foreign) {
      return head;
    }
    ++m_core.m_metrics.m_foreign_answers;
    LogLine(LogLevel::kWarning, "foreign_answer_dropped")
        .With("request_id", session.terms().m_root.value())
        .With("status", static_cast<int>(head->m_status));
    auto bytes = session.m_http->ReadBody();
    while (bytes && !bytes->empty()) {
      bytes = session.m_http->ReadBody();
    }
    if (!bytes) {
      return std::nullopt;
    }
  }
}

std::optional<Refusal> SlotGate::RelayAnswer(GateSession& session,
                                             const HttpResponseHead& head) {
  const TargetAnswer terms =
      m_core.m_dialect.m_read_answer(head, session.terms().m_root);
  if (terms.m_other_instance || terms.m_not_run) {
    if (terms.m_other_instance) {
      ForgetTarget("another incarnation answers");
    }
    Refusal refusal = RefuseBySignal(
        terms.m_other_instance ? Reason::kNoTarget : Reason::kTargetRefused,
        {"status", static_cast<double>(head.m_status), 0});
    refusal.m_retry_after = kRetryAfterTargetRefused;
    return refusal;
  }
  AnswerStart answer;
  answer.m_status = head.m_status;
  answer.m_headers = head.m_headers;
  bool whole = false;
  while (!whole && answer.m_body.m_data.size() < kWholeAnswerBytes) {
    const auto bytes = session.m_http->ReadBody();
    if (!bytes) {
      return Lost(session, "answer_cut");
    }
    whole = bytes->empty();
    answer.m_body.m_data += *bytes;
  }
  answer.m_complete = whole;
  answer.m_load = Load();
  session.m_answer_begun = true;
  m_crashes.OnAnswer(session.terms().m_fingerprint);
  session.m_status = head.m_status;
  if (session.cancelled()) {
    return std::nullopt;
  }
  session.m_call.m_sender->SendAnswer(std::move(answer));
  while (!whole) {
    auto bytes = session.m_http->ReadBody();
    if (!bytes) {
      session.m_call.m_sender->Cut("the target's answer broke off");
      return std::nullopt;
    }
    whole = bytes->empty();
    if (!session.m_call.m_sender->SendBody(std::move(*bytes), whole)) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

Refusal SlotGate::Lost(GateSession& session, const char* signal) {
  if (session.m_overdue) {
    const Millis over = SteadyNow() - session.m_deadline;
    return EndedUnknown(Reason::kDeadlinePassed,
                        {"ms_past_deadline", over.value(), 0});
  }
  if (!session.cancelled()) {
    WatchForCrash();
  }
  return EndedUnknown(Reason::kTargetLost, {signal, 1, 0});
}

void SlotGate::WatchForCrash() {
  std::vector<Fingerprint> in_flight;
  for (const auto& [id, session] : m_sessions) {
    if (session->m_handed_over && !session->m_answer_begun) {
      in_flight.push_back(session->terms().m_fingerprint);
    }
  }
  m_crashes.OnConnectionLost(std::move(in_flight),
                             m_core.m_settings.m_target.m_endpoint);
}

}  // namespace hemlockpoint
