// How a call is handed to the target, and its answer back.

#include <utility>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/relay/dispatch_session.h"
#include "hemlockpoint/relay/slot_dispatcher.h"

namespace hemlockpoint {

namespace {

constexpr Millis kConnectTimeout(1000);
// A target that refuses connections is tried again after this time.
constexpr Millis kUnreachablePause(200);
constexpr Millis kRetryAfterTargetRefused(200);
// Non-idempotent work goes only on connections used so recently that their
// server is most unlikely to be closing them.
constexpr Millis kMaxIdleForNonIdempotent(1500);
// Longer bodies are written while the answer is awaited, since a target may
// answer before it has read them.
constexpr std::size_t kLongBodyBytes = std::size_t{16} * 1024;
// Answers up to this size are sent on in one message, and only when whole.
constexpr std::size_t kMaxSingleMessageBytes = std::size_t{512} * 1024;
constexpr unsigned kServerErrors = 500;
// A call whose caller leaves this close to the deadline has timed out.
constexpr double kTimeoutShare = 0.9;
// The share of failures follows a change within some fifty calls.
constexpr double kTargetFailureRateGain = 0.02;
// Part of its time that a call may have waited here for its end still to tell
// of the services below.
constexpr double kShortWaitShare = 0.2;

}  // namespace

void SlotDispatcher::Dispatch(DispatchSession& session) {
  const Millis begun = SteadyNow();
  auto refusal = Admission(session);
  bool sample = false;
  if (!refusal && !session.cancelled()) {
    refusal = Exchange(session);
    sample = !refusal && session.m_is_response_started;
  }
  if (session.m_is_writing_body) {
    // The connection can't be used again before the whole body is written.
    session.m_http->Cancel();
    session.m_changed.Wait([&] { return !session.m_is_writing_body; });
  }
  session.m_http.reset();
  const Millis now = SteadyNow();
  const Millis held = now - begun;
  SlotOutcome slot_end;
  slot_end.m_slot_time = held;
  const bool timed_out = held >= (session.m_deadline - begun) * kTimeoutShare;
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
    const bool had_time =
        begun - session.m_arrival <=
        (session.m_deadline - session.m_arrival) * kShortWaitShare;
    if (had_time || !timed_out) {
      slot_end.m_failed = timed_out;
    }
    slot_end.m_nested_congestion = NestedCongestion(m_context, now);
    m_failure_rate +=
        ((failed ? 1.0 : 0.0) - m_failure_rate) * kTargetFailureRateGain;
  }
  ReleaseSlot(m_queue, session.m_queue_entry, slot_end, now);
  if (sample) {
    Record(m_context.m_metrics.m_service_time, held);
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

std::optional<Refusal> SlotDispatcher::Exchange(DispatchSession& session) {
  const CallStart& start = session.m_call.m_start;
  const Millis longest_idle =
      start.m_terms.m_idempotent ? Millis(1e9) : kMaxIdleForNonIdempotent;
  const std::shared_ptr<HttpClientPool> pool = m_pool;
  auto opened = pool->Open(
      Min(kConnectTimeout, session.m_deadline - SteadyNow()), longest_idle);
  if (!opened) {
    m_unreachable_until = SteadyNow() + kUnreachablePause;
    Refusal refusal =
        MakeSignalRefusal(Reason::kTargetUnreachable, {opened.reason(), 1, 0});
    refusal.m_retry_after = kUnreachablePause;
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
  DispatchMetadata terms;
  terms.m_time_left = session.m_deadline - SteadyNow();
  terms.m_instance = m_known_target.m_current->m_instance;
  terms.m_caller = ServiceName(start.m_terms.m_caller.value());
  m_context.m_adapter.m_write_dispatch_metadata(head.m_headers, terms);
  session.m_handed_over = true;
  session.m_dispatched_at = SteadyNow();
  ++m_context.m_metrics.m_dispatched;
  if (session.m_body.size() > kLongBodyBytes) {
    session.m_is_writing_body = true;
    auto keep = m_sessions[session.m_id];
    m_context.m_loop.Spawn([keep, head, http = session.m_http] {
      (void)http->SendHead(head, keep->m_body, true);
      keep->m_is_writing_body = false;
      keep->m_changed.Notify();
    });
  } else if (!session.m_http->SendHead(head, session.m_body, true)) {
    // What the target has answered before it closed can still be read.
    LogLine(LogLevel::kDebug, "request_not_written")
        .With("request_id", start.m_terms.m_root.value());
  }
  const auto answer = ReadOwnResponseHead(session);
  if (!answer) {
    return MakeLostRefusal(session, "no_answer");
  }
  return RelayAnswer(session, *answer);
}

// Reads the head of the answer to this request; answers to others that come
// before it are read and dropped.
std::optional<HttpResponseHead> SlotDispatcher::ReadOwnResponseHead(
    DispatchSession& session) {
  while (true) {
    auto head = session.m_http->ReadHead();
    if (!head) {
      return std::nullopt;
    }
    const ResponseMetadata answer =
        m_context.m_adapter.m_read_response_metadata(*head,
                                                     session.terms().m_root);
    if (!answer.m_is_for_other_request) {
      return head;
    }
    ++m_context.m_metrics.m_foreign_responses;
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

std::optional<Refusal> SlotDispatcher::RelayAnswer(
    DispatchSession& session,
    const HttpResponseHead& head) {
  const ResponseMetadata terms = m_context.m_adapter.m_read_response_metadata(
      head, session.terms().m_root);
  if (terms.m_is_other_incarnation || terms.m_not_run) {
    if (terms.m_is_other_incarnation) {
      ForgetTarget("another incarnation answers");
    }
    Refusal refusal =
        MakeSignalRefusal(terms.m_is_other_incarnation ? Reason::kNoTarget
                                                       : Reason::kTargetRefused,
                          {"status", static_cast<double>(head.m_status), 0});
    refusal.m_retry_after = kRetryAfterTargetRefused;
    return refusal;
  }
  AnswerStart answer;
  answer.m_status = head.m_status;
  answer.m_headers = head.m_headers;
  bool whole = false;
  while (!whole && answer.m_body.m_data.size() < kMaxSingleMessageBytes) {
    const auto bytes = session.m_http->ReadBody();
    if (!bytes) {
      return MakeLostRefusal(session, "answer_cut");
    }
    whole = bytes->empty();
    answer.m_body.m_data += *bytes;
  }
  answer.m_complete = whole;
  answer.m_load = Load();
  session.m_is_response_started = true;
  m_crashes.OnResponse(session.terms().m_fingerprint);
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

Refusal SlotDispatcher::MakeLostRefusal(DispatchSession& session,
                                        const char* signal) {
  if (session.m_overdue) {
    const Millis over = SteadyNow() - session.m_deadline;
    return MakeUnknownOutcome(Reason::kDeadlinePassed,
                              {"ms_past_deadline", over.value(), 0});
  }
  if (!session.cancelled()) {
    ReportConnectionLost();
  }
  return MakeUnknownOutcome(Reason::kTargetLost, {signal, 1, 0});
}

void SlotDispatcher::ReportConnectionLost() {
  std::vector<Fingerprint> in_flight;
  for (const auto& [id, session] : m_sessions) {
    if (session->m_handed_over && !session->m_is_response_started) {
      in_flight.push_back(session->terms().m_fingerprint);
    }
  }
  m_crashes.OnConnectionLost(std::move(in_flight),
                             m_context.m_settings.m_target.m_endpoint);
}

}  // namespace hemlockpoint
