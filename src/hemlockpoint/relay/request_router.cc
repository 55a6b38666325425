// The path of a request from its head to its final response.

#include "hemlockpoint/relay/request_router.h"

#include <algorithm>
#include <utility>

#include "hemlockpoint/base/digest.h"
#include "hemlockpoint/log/log.h"

namespace hemlockpoint {

namespace {

constexpr Millis kRetryWithoutDocument(500);
constexpr Millis kRetryWithoutMemory(300);
// Lower bound for the Retry-After delay of refused requests.
constexpr Millis kShortestRetryAfter(50);

Refusal MakeRefusal(Reason reason, Signal signal, Millis retry_after) {
  Refusal refusal = MakeSignalRefusal(reason, std::move(signal));
  refusal.m_retry_after = retry_after;
  return refusal;
}

}  // namespace

RequestRouter::RequestRouter(
    RelayContext& context,
    SlotDispatcher& dispatcher,
    std::function<void(const ServiceName&)> await_members)
    : m_context(context),
      m_dispatcher(dispatcher),
      m_await_members(std::move(await_members)) {}

void RequestRouter::Serve(HttpExchange& exchange) {
  // Shared with the handler that runs when the caller disconnects.
  auto call = std::make_shared<RoutedCall>();
  call->m_arrival = SteadyNow();
  ++m_context.m_entry_calls;
  ++m_context.m_metrics.m_requests;
  std::optional<Refusal> refusal = Prepare(*call, exchange);
  if (!refusal && !call->m_has_caller_left) {
    exchange.SetDisconnectCallback([call] {
      call->m_has_caller_left = true;
      if (call->m_outbound) {
        call->m_outbound->m_sender->Cancel("the caller has left");
        call->m_outbound->m_state->MarkCallerGone();
      }
    });
    refusal = RunAttempts(*call, exchange);
  }
  if (call->m_nested && call->m_has_failed_under_load) {
    m_dispatcher.RecordNestedFailure(call->m_metadata.m_parent);
  }
  m_context.m_body_bytes -= call->m_body.size();
  // The response may have to wait for earlier ones.
  std::string().swap(call->m_body);
  if (refusal && !call->m_has_caller_left) {
    Reject(*call, std::move(*refusal), exchange);
  }
  if (call->m_has_caller_left) {
    ++m_context.m_metrics.m_callers_gone;
  }
  Record(m_context.m_metrics.m_request_time, SteadyNow() - call->m_arrival);
  --m_context.m_entry_calls;
}

std::optional<Refusal> RequestRouter::Prepare(RoutedCall& call,
                                              HttpExchange& exchange) {
  const HttpRequestHead& head = exchange.head();
  call.m_metadata = m_context.m_adapter.m_read_request_metadata(head);
  call.m_nested = !call.m_metadata.m_parent.empty();
  if (head.m_content_length != 0U) {
    const Route* route = m_context.m_route_table
                             ? FindRoute(*m_context.m_route_table,
                                         call.m_metadata.m_host, head.m_path)
                             : nullptr;
    const Millis deadline = FindDeadline(call, route);
    if (auto refusal = ReadWholeBody(call, exchange, deadline)) {
      return refusal;
    }
  }
  if (call.m_has_caller_left) {
    return std::nullopt;
  }
  call.m_route_table = m_context.m_route_table;
  if (!call.m_route_table) {
    return MakeRefusal(Reason::kPolicyUnknown, {"document", 0, 1},
                       kRetryWithoutDocument);
  }
  call.m_route =
      FindRoute(*call.m_route_table, call.m_metadata.m_host, head.m_path);
  if (call.m_route == nullptr) {
    return MakeSignalRefusal(
        Reason::kNoRoute,
        {"document",
         static_cast<double>(call.m_route_table->m_document.m_version.value()),
         0});
  }
  const Route& route = *call.m_route;
  call.m_service =
      ChooseService(route, HashToUnitInterval(call.m_metadata.m_id));
  // The document may have changed since the head arrived.
  call.m_deadline = FindDeadline(call, &route);
  call.m_objective = route.m_objective > Millis(0)
                         ? call.m_arrival + route.m_objective
                         : call.m_deadline;
  call.m_fingerprint = ComputeDigest(
      {head.m_method, call.m_metadata.m_host, head.m_path, call.m_body,
       m_context.m_settings.m_target.m_service.value()});
  if (IsQuarantined(m_context.m_crash_counts, call.m_fingerprint,
                    call.m_arrival)) {
    return MakeRefusal(Reason::kQuarantined,
                       {"target_crashes", kCrashesUntilQuarantine, 0},
                       kQuarantineRetryAfter);
  }
  // Targets do not send their nested calls again after a refusal.
  call.m_returning =
      !call.m_nested && IsOnTimeReturn(m_context.m_retry_after_table,
                                       call.m_fingerprint, call.m_arrival);
  call.m_head.m_service = call.m_service;
  call.m_head.m_method = head.m_method;
  call.m_head.m_path = head.m_path;
  call.m_head.m_headers = head.m_headers;
  call.m_head.m_content_length = call.m_body.size();
  RetryWindow& window = m_context.m_retry_windows[call.m_service];
  const RetryAllowance allowance = MakeRetryAllowance(call.m_service);
  RecordFirstAttempt(window, allowance, call.m_arrival);
  call.m_rank = route.m_rank;
  if (const CallMetadata* parent =
          m_dispatcher.FindRunning(call.m_metadata.m_parent)) {
    call.m_rank = parent->m_class;
    call.m_is_retry_inherited = parent->m_is_retry;
  }
  if (call.m_is_retry_inherited) {
    RecordInheritedRetry(window, allowance, call.m_rank, call.m_arrival);
  }
  return std::nullopt;
}

// The time that the caller and the route allow, from the arrival of the head.
Millis RequestRouter::FindDeadline(const RoutedCall& call,
                                   const Route* route) const {
  const CallerLimits& limits = m_context.m_settings.m_limits;
  Millis time_left =
      Min(call.m_metadata.m_time_left.value_or(limits.m_default_deadline),
          limits.m_max_deadline);
  if (route != nullptr && route->m_timeout > Millis(0)) {
    time_left = Min(time_left, route->m_timeout);
  }
  return call.m_arrival + time_left;
}

// Buffers the whole body, so that the request can be sent to another target
// when the first one did not run it.
std::optional<Refusal> RequestRouter::ReadWholeBody(RoutedCall& call,
                                                    HttpExchange& exchange,
                                                    Millis until) {
  if (auto refusal =
          CheckBodyMemory(exchange.head().m_content_length.value_or(0))) {
    return refusal;
  }
  while (true) {
    const auto bytes = exchange.ReadBody(until);
    if (!bytes) {
      return HandleBodyError(call, exchange);
    }
    if (bytes->empty()) {
      return std::nullopt;
    }
    if (auto refusal = CheckBodyMemory(bytes->size())) {
      return refusal;
    }
    call.m_body += *bytes;
    m_context.m_body_bytes += bytes->size();
  }
}

std::optional<Refusal> RequestRouter::CheckBodyMemory(
    std::uint64_t bytes) const {
  const std::size_t limit = m_context.m_settings.m_max_body_memory_bytes;
  const std::size_t held = m_context.m_body_bytes;
  if (bytes <= limit && held <= limit - bytes) {
    return std::nullopt;
  }
  return MakeRefusal(
      Reason::kNodeOverloaded,
      {"body_bytes", static_cast<double>(held) + static_cast<double>(bytes),
       static_cast<double>(limit)},
      kRetryWithoutMemory);
}

std::optional<Refusal> RequestRouter::HandleBodyError(
    RoutedCall& call,
    const HttpExchange& exchange) {
  switch (exchange.body_error()) {
    case BodyError::kTooLarge:
      return MakeSignalRefusal(Reason::kBodyTooLarge, {"body_bytes", 0, 0});
    case BodyError::kTimedOut:
      return MakeSignalRefusal(
          Reason::kBodyTimeout,
          {"body_bytes", static_cast<double>(call.m_body.size()),
           static_cast<double>(exchange.head().m_content_length.value_or(0))});
    default:
      call.m_has_caller_left = true;
      return std::nullopt;
  }
}

void RequestRouter::RelayResponse(RoutedCall& call,
                                  const ResponseStart& response,
                                  HttpExchange& exchange) {
  ++m_context.m_metrics.m_answers;
  HttpResponseHead head;
  head.m_status = static_cast<unsigned>(response.m_status);
  head.m_headers = response.m_headers;
  BodyPipe& body = call.m_outbound->m_state->m_response_body;
  auto bytes = body.Pop();
  if (!bytes) {
    exchange.Abort();
    return;
  }
  if (response.m_complete) {
    RecordResponseSize(m_context.m_response_sizes, call.m_route->m_name.value(),
                       bytes->size());
    (void)exchange.Respond(head, *bytes);
    return;
  }
  bool is_open = exchange.StartResponse(head);
  while (is_open && bytes && !bytes->empty()) {
    is_open = exchange.WriteBody(*bytes);
    bytes = body.Pop();
  }
  if (!bytes) {
    exchange.Abort();
  } else if (is_open) {
    (void)exchange.FinishResponse();
  }
}

void RequestRouter::Reject(RoutedCall& call,
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
      .With("request_id", call.m_metadata.m_id.value())
      .With("route", call.m_route ? call.m_route->m_name.value() : "")
      .With("outcome", ToText(refusal.m_execution))
      .With("reason", ToText(refusal.m_reason))
      .With("signal", refusal.m_signal.m_name)
      .With("value", refusal.m_signal.m_value)
      .With("decided_at", refusal.m_node.value())
      .With("attempts", static_cast<std::uint64_t>(call.m_attempts))
      .With("document", call.m_route_table
                            ? call.m_route_table->m_document.m_version.value()
                            : std::uint64_t{0})
      .With("retry_after_ms", refusal.m_retry_after.value())
      .With("returning", call.m_returning ? "yes" : "no")
      .With("held_ms", (SteadyNow() - call.m_arrival).value());
  const HttpResponseHead head =
      m_context.m_adapter.m_write_refusal(refusal, call.m_metadata.m_id);
  (void)exchange.Respond(head, std::string(ToText(refusal.m_reason)) + "\n");
}

}  // namespace hemlockpoint
