// Sends a call to the target and relays the response.

#include <utility>

#include "hemlockpoint/dispatch/call_outcome.h"
#include "hemlockpoint/log/log.h"
#include "hemlockpoint/relay/dispatch_session.h"
#include "hemlockpoint/relay/slot_dispatcher.h"

namespace hemlockpoint {

namespace {

constexpr Millis kConnectTimeout(1000);
// Time during which calls are refused after a connection attempt failed.
constexpr Millis kUnreachablePause(200);
constexpr Millis kRetryAfterTargetRefused(200);
// Maximum idle time of a connection that a non-idempotent request reuses. The
// server is unlikely to be closing a connection that was used so recently.
constexpr Millis kMaxIdleForNonIdempotent(1500);
// Longer bodies are written while waiting for the response, because a target
// may respond before it has read the whole body.
constexpr std::size_t kLongBodyBytes = std::size_t{16} * 1024;
// Responses below this size are relayed in one message once they are complete;
// longer ones are streamed.
constexpr std::size_t kMaxSingleMessageBytes = std::size_t{512} * 1024;
constexpr unsigned kServerErrors = 500;
// Responses on one connection that are read for one request, and bytes of the
// bodies that belong to others.
constexpr int kMaxResponsesPerRequest = 16;
constexpr std::size_t kMaxDiscardedBytes = std::size_t{512} * 1024;
// Weight of one call in the moving average of the failure rate, which follows a
// change within about 50 calls.
constexpr double kTargetFailureRateGain = 0.02;

}  // namespace

void SlotDispatcher::Dispatch(DispatchSession& session) {
  const Millis started = SteadyNow();
  auto refusal = CheckAdmission(session);
  bool has_response = false;
  if (!refusal && !session.is_cancelled()) {
    refusal = ExchangeWithTarget(session);
    has_response = !refusal && session.m_is_response_started;
  }
  if (session.m_is_writing_body) {
    // The connection cannot be reused unless the whole body has been written.
    session.m_http->Cancel();
    session.m_changed.Wait([&] { return !session.m_is_writing_body; });
  }
  session.m_http.reset();
  const Millis now = SteadyNow();
  const Millis slot_time = now - started;
  const bool has_failed = !has_response || session.m_status >= kServerErrors;
  const CallEnd end{session.m_arrival,
                    started,
                    now,
                    session.m_deadline,
                    session.m_is_dispatched,
                    session.is_cancelled(),
                    !has_failed,
                    session.m_has_failed_nested_call};
  const bool timed_out = HasTimedOut(end);
  SlotOutcome slot_end;
  slot_end.m_slot_time = slot_time;
  // The duration of a failure says little about the work. The duration of a
  // timeout is a lower bound for it.
  slot_end.m_is_service_time = timed_out || !has_failed;
  slot_end.m_failed = IsDownstreamFailure(end);
  slot_end.m_nested_congestion = NestedCongestion(m_context, now);
  if (session.m_is_dispatched && (!session.is_cancelled() || timed_out)) {
    const bool failed = has_failed || session.is_cancelled();
    m_failure_rate +=
        ((failed ? 1.0 : 0.0) - m_failure_rate) * kTargetFailureRateGain;
  }
  ReleaseSlot(m_queue, session.m_queue_entry, slot_end, now);
  if (has_response) {
    Record(m_context.m_metrics.m_service_time, slot_time);
  }
  if (refusal && !session.is_cancelled()) {
    LogLine(LogLevel::kInfo, "gate_refused")
        .With("request_id", session.metadata().m_root.value())
        .With("route", session.metadata().m_route)
        .With("outcome", ToText(refusal->m_execution))
        .With("reason", ToText(refusal->m_reason))
        .With("signal", refusal->m_signal.m_name)
        .With("value", refusal->m_signal.m_value)
        .With("held_ms", slot_time.value());
    Refuse(session, *refusal);
  }
}

// Maximum idle time of a connection that the call may reuse.
Millis SlotDispatcher::MaxConnectionIdleTime(
    const CallMetadata& metadata) const {
  if (WasRefused(m_refused_requests, metadata.m_root)) {
    // A copy of the earlier refusal can't arrive on a new connection.
    return Millis(-1);
  }
  return metadata.m_idempotent ? Millis(1e9) : kMaxIdleForNonIdempotent;
}

std::optional<Refusal> SlotDispatcher::ExchangeWithTarget(
    DispatchSession& session) {
  const CallStart& start = session.m_call.m_start;
  const std::shared_ptr<HttpClientPool> pool = m_pool;
  auto opened =
      pool->Open(Min(kConnectTimeout, session.m_deadline - SteadyNow()),
                 MaxConnectionIdleTime(start.m_metadata));
  if (!opened) {
    m_unreachable_until = SteadyNow() + kUnreachablePause;
    Refusal refusal =
        MakeSignalRefusal(Reason::kTargetUnreachable, {opened.reason(), 1, 0});
    refusal.m_retry_after = kUnreachablePause;
    return refusal;
  }
  // While connecting, the target may have changed or the caller may have left.
  if (session.is_cancelled()) {
    return std::nullopt;
  }
  if (auto refusal = CheckAdmission(session)) {
    return refusal;
  }
  session.m_http = std::move(*opened);
  HttpRequestHead head;
  head.m_method = start.m_request.m_method;
  head.m_path = start.m_request.m_path;
  head.m_headers = start.m_request.m_headers;
  DispatchMetadata metadata;
  metadata.m_time_left = session.m_deadline - SteadyNow();
  metadata.m_instance = m_known_target.m_current->m_instance;
  metadata.m_caller = ServiceName(start.m_metadata.m_caller.value());
  m_context.m_adapter.m_write_dispatch_metadata(head.m_headers, metadata);
  session.m_is_dispatched = true;
  session.m_dispatched_at = SteadyNow();
  ++m_context.m_metrics.m_dispatched;
  if (session.m_body.size() > kLongBodyBytes) {
    session.m_is_writing_body = true;
    auto session_ref = m_sessions[session.m_id];
    m_context.m_loop.Spawn([session_ref, head, http = session.m_http] {
      (void)http->SendHead(head, session_ref->m_body, true);
      session_ref->m_is_writing_body = false;
      session_ref->m_changed.Notify();
    });
  } else if (!session.m_http->SendHead(head, session.m_body, true)) {
    // The target may have responded before it closed the connection, and that
    // response can still be read.
    LogLine(LogLevel::kDebug, "request_not_written")
        .With("request_id", start.m_metadata.m_root.value());
  }
  const auto response = ReadOwnResponseHead(session);
  if (!response) {
    return MakeLostRefusal(session, "no_answer");
  }
  return RelayResponse(session, *response);
}

// Reads the head of the response to this request. Responses to other requests
// that precede it on the connection are discarded, up to a limit, since a
// target in trouble may send them without end.
std::optional<HttpResponseHead> SlotDispatcher::ReadOwnResponseHead(
    DispatchSession& session) {
  std::size_t discarded_bytes = 0;
  for (int responses = 0; responses < kMaxResponsesPerRequest; ++responses) {
    auto head = session.m_http->ReadHead();
    if (!head) {
      return std::nullopt;
    }
    const ResponseMetadata metadata =
        m_context.m_adapter.m_read_response_metadata(*head,
                                                     session.metadata().m_root);
    if (metadata.m_is_unidentified && session.m_http->is_reused()) {
      // It may state that an earlier request was not run, and must not state
      // that for this one.
      LogLine(LogLevel::kWarning, "unidentified_answer_dropped")
          .With("request_id", session.metadata().m_root.value())
          .With("status", static_cast<int>(head->m_status));
      return std::nullopt;
    }
    if (!metadata.m_is_for_other_request) {
      return head;
    }
    ++m_context.m_metrics.m_foreign_responses;
    LogLine(LogLevel::kWarning, "foreign_answer_dropped")
        .With("request_id", session.metadata().m_root.value())
        .With("status", static_cast<int>(head->m_status));
    auto bytes = session.m_http->ReadBody();
    while (bytes && !bytes->empty() && discarded_bytes < kMaxDiscardedBytes) {
      discarded_bytes += bytes->size();
      bytes = session.m_http->ReadBody();
    }
    if (!bytes || !bytes->empty()) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

std::optional<Refusal> SlotDispatcher::RelayResponse(
    DispatchSession& session,
    const HttpResponseHead& head) {
  const ResponseMetadata metadata =
      m_context.m_adapter.m_read_response_metadata(head,
                                                   session.metadata().m_root);
  if (metadata.m_is_other_incarnation || metadata.m_not_run) {
    if (metadata.m_is_other_incarnation) {
      ForgetTarget("another incarnation responded");
    }
    Refusal refusal = MakeSignalRefusal(
        metadata.m_is_other_incarnation ? Reason::kNoTarget
                                        : Reason::kTargetRefused,
        {"status", static_cast<double>(head.m_status), 0});
    refusal.m_retry_after = kRetryAfterTargetRefused;
    RecordRefused(m_refused_requests, session.metadata().m_root);
    return refusal;
  }
  ResponseStart response;
  response.m_status = head.m_status;
  response.m_headers = head.m_headers;
  bool is_complete = false;
  while (!is_complete &&
         response.m_body.m_data.size() < kMaxSingleMessageBytes) {
    const auto bytes = session.m_http->ReadBody();
    if (!bytes) {
      return MakeLostRefusal(session, "answer_cut");
    }
    is_complete = bytes->empty();
    response.m_body.m_data += *bytes;
  }
  response.m_complete = is_complete;
  response.m_load = MakeLoadReport();
  session.m_is_response_started = true;
  m_crash_detector.OnResponse(session.metadata().m_fingerprint);
  session.m_status = head.m_status;
  if (session.is_cancelled()) {
    return std::nullopt;
  }
  session.m_call.m_sender->SendResponse(std::move(response));
  while (!is_complete) {
    auto bytes = session.m_http->ReadBody();
    if (!bytes) {
      session.m_call.m_sender->Cut("the target's answer broke off");
      return std::nullopt;
    }
    is_complete = bytes->empty();
    if (!session.m_call.m_sender->SendBody(std::move(*bytes), is_complete)) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

Refusal SlotDispatcher::MakeLostRefusal(DispatchSession& session,
                                        const char* signal) {
  if (session.m_is_closed_as_overdue) {
    const Millis overrun = SteadyNow() - session.m_deadline;
    return MakeUnknownOutcome(Reason::kDeadlinePassed,
                              {"ms_past_deadline", overrun.value(), 0});
  }
  if (!session.is_cancelled()) {
    ReportConnectionLost();
  }
  return MakeUnknownOutcome(Reason::kTargetLost, {signal, 1, 0});
}

void SlotDispatcher::ReportConnectionLost() {
  std::vector<Fingerprint> in_flight;
  for (const auto& [id, session] : m_sessions) {
    if (session->m_is_dispatched && !session->m_is_response_started) {
      in_flight.push_back(session->metadata().m_fingerprint);
    }
  }
  m_crash_detector.OnConnectionLost(std::move(in_flight),
                                    m_context.m_settings.m_target.m_endpoint);
}

}  // namespace hemlockpoint
