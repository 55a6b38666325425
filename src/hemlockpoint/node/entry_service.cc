#include "hemlockpoint/node/entry_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "hemlockpoint/base/digest.h"
#include "hemlockpoint/log/log.h"
#include "hemlockpoint/node/entry_progress.h"
#include "hemlockpoint/node/refusal_response.h"

namespace hemlockpoint {

namespace {

constexpr Millis kMinRetryAfter(50);
constexpr const char* kParentCallSignal = "parent_call";

Reason ReasonOf(BodyError error) {
  switch (error) {
    case BodyError::kTooLarge:
      return Reason::kBodyTooLarge;
    case BodyError::kTimedOut:
      return Reason::kBodyTimeout;
    default:
      return Reason::kMalformedRequest;
  }
}

}  // namespace

EntryService::EntryService(
    NodeContext& context,
    TargetDispatcher& dispatcher,
    std::function<void(const ServiceName&)> await_service_members)
    : m_context(context),
      m_dispatcher(dispatcher),
      m_await_service_members(std::move(await_service_members)) {}

void EntryService::Serve(HttpExchange& exchange) {
  Progress progress(exchange);
  progress.m_call.m_root = m_context.NewRequestId();
  progress.m_call.m_arrived = SteadyNow();
  Result<CallerRequest> request = ParseCallerRequest(exchange.head());
  if (!request) {
    Reject(progress,
           MakeSignalRefusal(Reason::kMalformedRequest, {"request_head", 0, 0}),
           request.reason());
    return;
  }
  progress.m_call.m_request = std::move(*request);
  ++m_context.m_entry_calls;
  std::optional<Refusal> refusal = PrepareCall(progress);
  if (!refusal) {
    refusal = RunAttempts(progress);
  }
  if (refusal) {
    Reject(progress, *refusal, "");
  } else if (!progress.m_caller_gone) {
    RelayResponse(progress);
  }
  RecordObjectiveResult(progress, refusal.has_value());
  StopBodyStreaming(progress);
  const auto parent = m_context.m_running_calls.find(progress.m_parent_call_id);
  if (parent != m_context.m_running_calls.end()) {
    parent->second.m_cancel_children.erase(progress.m_child_number);
  }
  --m_context.m_entry_calls;
}

std::optional<Refusal> EntryService::PrepareCall(Progress& progress) {
  EntryCall& call = progress.m_call;
  const CallerLimits& limits = m_context.m_settings.m_limits;
  if (m_context.m_entry_calls > limits.m_calls) {
    return MakeSignalRefusal(
        Reason::kNodeOverloaded,
        {"entry_calls", static_cast<double>(m_context.m_entry_calls),
         static_cast<double>(limits.m_calls)});
  }
  if (!m_context.m_is_policy_known) {
    return MakeSignalRefusal(Reason::kPolicyUnknown, {"policy_revision", 0, 1});
  }
  const Millis time_left =
      Min(call.m_request.m_time_left.value_or(limits.m_default_deadline),
          limits.m_max_deadline);
  call.m_deadline = call.m_arrived + time_left;
  const auto parent = m_context.m_running_calls.find(call.m_request.m_parent);
  if (parent != m_context.m_running_calls.end()) {
    call.m_deadline = Min(call.m_deadline, parent->second.m_deadline);
  }
  const auto first = progress.m_exchange.ReadBody(call.m_deadline);
  if (!first) {
    return MakeSignalRefusal(
        ReasonOf(progress.m_exchange.body_error()),
        {"body_bytes", 0, static_cast<double>(limits.m_body_bytes)});
  }
  progress.m_body = *first;
  progress.m_is_body_complete =
      first->empty() || call.m_request.m_content_length == first->size();
  if (progress.m_is_body_complete) {
    call.m_request.m_content_length = first->size();
  }
  call.m_policy = m_context.m_entry.m_policy;
  call.m_is_root = call.m_request.m_parent.empty();
  const ServiceName& service = call.m_request.m_service;
  call.m_kind = KindOf(service, call.m_request.m_method, call.m_request.m_path);
  call.m_fingerprint = ComputeDigest({service.value(), call.m_request.m_method,
                                      call.m_request.m_path, progress.m_body});
  if (call.m_is_root) {
    ++m_context.m_counters.m_entry_calls;
    call.m_caller = IdentifyCaller(*call.m_policy, call.m_request.m_caller,
                                   call.m_request.m_token);
  } else if (auto refusal = InheritFromParent(call)) {
    return refusal;
  }
  call.m_resend_fingerprint =
      ComputeDigest({std::to_string(call.m_fingerprint.value()),
                     call.m_caller.value(), call.m_request.m_key});
  call.m_verdict =
      ClassifyCall(*call.m_policy,
                   {call.m_caller.value(), service.value(),
                    call.m_request.m_method, PathOnly(call.m_request.m_path)});
  if (call.m_is_root) {
    call.m_class = call.m_verdict.m_class;
    progress.m_own_budget.m_attempts_left = call.m_verdict.m_extra_attempts;
  }
  m_await_service_members(service);
  if (m_context.m_entry.m_services.count(service) == 0) {
    return MakeSignalRefusal(Reason::kUnknownService, {"members", 0, 1});
  }
  std::vector<double> randoms(EntryFilters().size());
  for (double& random : randoms) {
    random = m_context.Random();
  }
  return RunFilters(m_context.m_entry, call, randoms, SteadyNow());
}

std::optional<Refusal> EntryService::InheritFromParent(EntryCall& call) {
  ++m_context.m_counters.m_egress_calls;
  const auto parent_entry =
      m_context.m_running_calls.find(call.m_request.m_parent);
  if (parent_entry == m_context.m_running_calls.end()) {
    return MakeSignalRefusal(Reason::kParentEnded, {kParentCallSignal, 0, 1});
  }
  const TargetCall& parent = parent_entry->second;
  call.m_root = parent.m_root;
  call.m_caller = parent.m_caller;
  call.m_class = parent.m_class;
  call.m_depth = parent.m_depth + 1;
  m_dispatcher.RecordChildKind(parent.m_kind, call.m_kind);
  return std::nullopt;
}

void EntryService::RelayResponse(Progress& progress) {
  ++m_context.m_counters.m_entry_responses;
  ResponseStart& response = *progress.m_response;
  HttpResponseHead head;
  head.m_status = static_cast<unsigned>(response.m_status);
  head.m_content_length = ContentLengthOf(response.m_headers);
  head.m_headers = MakeResponseHeaders(
      response.m_headers, progress.m_call.m_root, progress.m_attempts);
  if (response.m_is_replayed) {
    head.m_headers.push_back({field::kReplayed, "true"});
  }
  BodyPipe& body = progress.m_outbound.m_state->m_response_body;
  if (response.m_complete) {
    std::string whole;
    if (body.buffered() > 0) {
      whole = body.Pop().value_or("");
    }
    progress.m_exchange.Respond(head, whole);
    return;
  }
  bool is_caller_connected = progress.m_exchange.StartResponse(head);
  while (is_caller_connected) {
    const auto bytes = body.Pop();
    if (!bytes) {
      progress.m_exchange.Abort();
      return;
    }
    if (bytes->empty()) {
      progress.m_exchange.FinishResponse();
      return;
    }
    is_caller_connected = progress.m_exchange.WriteBody(*bytes);
  }
  progress.m_outbound.m_sender->Cancel("the caller is gone");
  progress.m_outbound.m_state->Cancel();
}

void EntryService::Reject(Progress& progress,
                          Refusal refusal,
                          const std::string& detail) {
  const EntryCall& call = progress.m_call;
  if (progress.m_may_have_run) {
    refusal.m_execution = Execution::kUnknown;
  }
  if (refusal.m_node.empty()) {
    refusal.m_node = m_context.m_settings.m_node;
  }
  if (refusal.m_retry_after > Millis(0)) {
    refusal.m_retry_after = JitteredRetryAfter(
        Max(refusal.m_retry_after, kMinRetryAfter), m_context.Random());
  }
  ++m_context.m_counters.m_refusals[static_cast<std::size_t>(refusal.m_reason)];
  const NodeId target =
      progress.m_tried.empty() ? NodeId() : progress.m_tried.back();
  RecordDecision(progress, target, refusal, "refused");
  if (call.m_policy && IsAttributable(call)) {
    const Millis now = SteadyNow();
    FailedRequest failure;
    failure.m_root = call.m_root;
    failure.m_failed_at = now;
    failure.m_uncharged_from = now + refusal.m_retry_after;
    failure.m_not_run = refusal.m_execution == Execution::kNotRun;
    RecordFailedRequest(m_context.m_entry.m_resends, call.m_resend_fingerprint,
                        failure);
  }
  const RefusalResponse response =
      MakeRefusalResponse(refusal, call.m_root, detail);
  progress.m_exchange.Respond(response.m_head, response.m_body);
}

// Counts root calls only, and not those whose caller disconnected.
void EntryService::RecordObjectiveResult(const Progress& progress,
                                         bool refused) {
  const EntryCall& call = progress.m_call;
  if (!call.m_is_root || !call.m_policy || progress.m_caller_gone) {
    return;
  }
  constexpr std::uint64_t kServerError = 500;
  const bool answered = !refused && progress.m_response &&
                        progress.m_response->m_status < kServerError;
  const Millis now = SteadyNow();
  RecordObjectiveOutcome(
      m_context.m_burn, *call.m_policy,
      {call.m_caller.value(), call.m_request.m_service.value(),
       call.m_request.m_method, PathOnly(call.m_request.m_path)},
      call.m_class, answered, now - call.m_arrived, now);
}

void EntryService::RecordDecision(const Progress& progress,
                                  const NodeId& target,
                                  const Refusal& refusal,
                                  const char* action) {
  const EntryCall& call = progress.m_call;
  Decision decision;
  decision.m_unix_ms = UnixMillis();
  decision.m_root = call.m_root;
  decision.m_hop = call.m_is_root ? "entry" : "egress";
  decision.m_service = call.m_request.m_service;
  decision.m_method = call.m_request.m_method;
  decision.m_path = call.m_request.m_path;
  if (call.m_policy && call.m_class < call.m_policy->m_classes.size()) {
    decision.m_priority_class = call.m_policy->m_classes[call.m_class];
  }
  decision.m_target = target;
  decision.m_refusal = refusal;
  decision.m_action = action;
  m_context.m_decisions.Add(std::move(decision));
  LogLine(LogLevel::kDebug, "call_not_answered")
      .With("request_id", call.m_root.value())
      .With("hop", call.m_is_root ? "entry" : "egress")
      .With("service", call.m_request.m_service.value())
      .With("action", action)
      .With("outcome", ToText(refusal.m_execution))
      .With("decided_by", ToText(refusal.m_decider))
      .With("reason", ToText(refusal.m_reason));
}

}  // namespace hemlockpoint
