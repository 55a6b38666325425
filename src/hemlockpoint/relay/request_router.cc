// A request from its head to its final answer.

#include "hemlockpoint/relay/request_router.h"

#include <algorithm>
#include <utility>

#include "hemlockpoint/base/digest.h"
#include "hemlockpoint/log/log.h"

namespace hemlockpoint {

namespace {

constexpr Millis kRetryWithoutDocument(500);
constexpr Millis kRetryWithoutMemory(300);
// Pause between a refusal and a retry that needs no answer of anybody.
constexpr Millis kShortestRetryAfter(50);

Refusal NotRun(Reason reason, Signal signal, Millis retry_after) {
  Refusal refusal = MakeSignalRefusal(reason, std::move(signal));
  refusal.m_retry_after = retry_after;
  return refusal;
}

}  // namespace

RequestRouter::RequestRouter(
    RelayContext& core,
    SlotDispatcher& gate,
    std::function<void(const ServiceName&)> want_service)
    : m_context(core),
      m_dispatcher(gate),
      m_want_service(std::move(want_service)) {}

void RequestRouter::Serve(HttpExchange& exchange) {
  // Shared with the watch on the caller's connection.
  auto call = std::make_shared<EntryCall>();
  call->m_arrival = SteadyNow();
  ++m_context.m_entry_calls;
  ++m_context.m_metrics.m_requests;
  std::optional<Refusal> refusal = Prepare(*call, exchange);
  if (!refusal && !call->m_caller_gone) {
    exchange.WatchCaller([call] {
      call->m_caller_gone = true;
      if (call->m_outbound) {
        call->m_outbound->m_sender->Cancel("the caller has left");
        call->m_outbound->m_state->m_cancelled = true;
        call->m_outbound->m_state->m_changed.Notify();
      }
    });
    refusal = Send(*call, exchange);
  }
  m_context.m_body_bytes -= call->m_body.size();
  if (refusal && !call->m_caller_gone) {
    Reject(*call, std::move(*refusal), exchange);
  }
  if (call->m_caller_gone) {
    ++m_context.m_metrics.m_callers_gone;
  }
  Record(m_context.m_metrics.m_request_time, SteadyNow() - call->m_arrival);
  --m_context.m_entry_calls;
}

std::optional<Refusal> RequestRouter::Prepare(EntryCall& call,
                                              HttpExchange& exchange) {
  const HttpRequestHead& head = exchange.head();
  call.m_terms = m_context.m_adapter.m_read_request_metadata(head);
  call.m_nested = !call.m_terms.m_parent.empty();
  if (auto refusal = ReadWholeBody(call, exchange)) {
    return refusal;
  }
  if (call.m_caller_gone) {
    return std::nullopt;
  }
  call.m_table = m_context.m_table;
  if (!call.m_table) {
    return NotRun(Reason::kPolicyUnknown, {"document", 0, 1},
                  kRetryWithoutDocument);
  }
  call.m_route = FindRoute(*call.m_table, call.m_terms.m_host, head.m_path);
  if (call.m_route == nullptr) {
    return MakeSignalRefusal(
        Reason::kNoRoute,
        {"document",
         static_cast<double>(call.m_table->m_document.m_version.value()), 0});
  }
  const Route& route = *call.m_route;
  call.m_service = ChooseService(route, RootFraction(call.m_terms.m_id));
  const CallerLimits& limits = m_context.m_settings.m_limits;
  Millis left =
      Min(call.m_terms.m_time_left.value_or(limits.m_default_deadline),
          limits.m_longest_deadline);
  if (route.m_timeout > Millis(0)) {
    left = Min(left, route.m_timeout);
  }
  call.m_deadline = call.m_arrival + left;
  call.m_objective = call.m_arrival +
                     (route.m_objective > Millis(0) ? route.m_objective : left);
  call.m_fingerprint =
      DigestOf({head.m_method, call.m_terms.m_host, head.m_path, call.m_body,
                m_context.m_settings.m_target.m_service.value()});
  if (IsQuarantined(m_context.m_crashes, call.m_fingerprint, call.m_arrival)) {
    return NotRun(Reason::kQuarantined,
                  {"target_crashes", kCrashesUntilQuarantine, 0},
                  kQuarantineRetryAfter);
  }
  // Calls of targets aren't sent again by whoever made them.
  call.m_returning =
      !call.m_nested && IsOnTimeReturn(m_context.m_retry_after_table,
                                       call.m_fingerprint, call.m_arrival);
  call.m_head.m_service = call.m_service;
  call.m_head.m_method = head.m_method;
  call.m_head.m_path = head.m_path;
  call.m_head.m_headers = head.m_headers;
  call.m_head.m_content_length = call.m_body.size();
  RetryWindow& repeats = m_context.m_repeats[call.m_service];
  const RetryAllowance share = MakeRetryAllowance(call.m_service);
  RecordFirstAttempt(repeats, share, call.m_arrival);
  call.m_rank = route.m_rank;
  if (const CallTerms* parent =
          m_dispatcher.FindRunning(call.m_terms.m_parent)) {
    call.m_rank = parent->m_class;
    call.m_is_retry_inherited = parent->m_repeat;
  }
  if (call.m_is_retry_inherited) {
    RecordInheritedRetry(repeats, share, call.m_rank, call.m_arrival);
  }
  return std::nullopt;
}

// The body is held whole, so that a target that hasn't run the request can be
// followed by another.
std::optional<Refusal> RequestRouter::ReadWholeBody(EntryCall& call,
                                                    HttpExchange& exchange) {
  bool dropped = false;
  while (true) {
    const auto bytes = exchange.ReadBody();
    if (!bytes) {
      if (exchange.body_too_large()) {
        return MakeSignalRefusal(Reason::kBodyTooLarge, {"body_bytes", 0, 0});
      }
      call.m_caller_gone = true;
      return std::nullopt;
    }
    if (bytes->empty()) {
      break;
    }
    dropped = dropped || m_context.m_body_bytes + bytes->size() >
                             m_context.m_settings.m_body_memory;
    if (!dropped) {
      call.m_body += *bytes;
      m_context.m_body_bytes += bytes->size();
    }
  }
  if (dropped) {
    return NotRun(Reason::kNodeOverloaded,
                  {"body_bytes", static_cast<double>(m_context.m_body_bytes),
                   static_cast<double>(m_context.m_settings.m_body_memory)},
                  kRetryWithoutMemory);
  }
  return std::nullopt;
}

void RequestRouter::RelayAnswer(EntryCall& call,
                                const AnswerStart& answer,
                                HttpExchange& exchange) {
  ++m_context.m_metrics.m_answers;
  HttpResponseHead head;
  head.m_status = static_cast<unsigned>(answer.m_status);
  head.m_headers = answer.m_headers;
  BodyPipe& body = call.m_outbound->m_state->m_answer_body;
  auto bytes = body.Pop();
  if (!bytes) {
    exchange.Abort();
    return;
  }
  if (answer.m_complete) {
    RecordResponseSize(m_context.m_response_sizes, call.m_route->m_name.value(),
                       bytes->size());
    (void)exchange.Respond(head, *bytes);
    return;
  }
  bool open = exchange.StartResponse(head);
  while (open && bytes && !bytes->empty()) {
    open = exchange.WriteBody(*bytes);
    bytes = body.Pop();
  }
  if (!bytes) {
    exchange.Abort();
  } else if (open) {
    (void)exchange.FinishResponse();
  }
}

void RequestRouter::Reject(EntryCall& call,
                           Refusal refusal,
                           HttpExchange& exchange) {
  if (refusal.m_node.empty()) {
    refusal.m_node = m_context.m_settings.m_node;
    ++m_context.m_metrics
          .m_refusals[static_cast<std::size_t>(refusal.m_reason)];
  }
  if (refusal.m_execution == Execution::kNotRun) {
    refusal.m_retry_after = JitteredRetryAfter(
        Max(refusal.m_retry_after, kShortestRetryAfter), m_context.Random());
    if (call.m_route != nullptr && !call.m_nested) {
      const Millis now = SteadyNow();
      RecordRetryAfter(m_context.m_retry_after_table, call.m_fingerprint,
                       refusal.m_retry_after, call.m_deadline - now, now);
    }
  }
  LogLine(LogLevel::kInfo, "request_refused")
      .With("request_id", call.m_terms.m_id.value())
      .With("route", call.m_route ? call.m_route->m_name.value() : "")
      .With("outcome", ToText(refusal.m_execution))
      .With("reason", ToText(refusal.m_reason))
      .With("signal", refusal.m_signal.m_name)
      .With("value", refusal.m_signal.m_value)
      .With("decided_at", refusal.m_node.value())
      .With("attempts", static_cast<std::uint64_t>(call.m_attempts))
      .With("document", call.m_table
                            ? call.m_table->m_document.m_version.value()
                            : std::uint64_t{0})
      .With("retry_after_ms", refusal.m_retry_after.value())
      .With("returning", call.m_returning ? "yes" : "no")
      .With("held_ms", (SteadyNow() - call.m_arrival).value());
  const HttpResponseHead head =
      m_context.m_adapter.m_write_refusal(refusal, call.m_terms.m_id);
  (void)exchange.Respond(head, std::string(ToText(refusal.m_reason)) + "\n");
}

}  // namespace hemlockpoint
