#include "hemlockpoint/node/entry_service.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "hemlockpoint/base/digest.h"
#include "hemlockpoint/log/log.h"
#include "hemlockpoint/node/refusal_response.h"
#include "hemlockpoint/retry/next_step.h"

namespace hemlockpoint {

namespace {

constexpr Millis kLinkTimeout(300);
constexpr Millis kNoTargetRetryAfter(500);
constexpr Millis kShortestRetryAfter(50);
constexpr const char* kUnknownParent = "parent_call";

std::optional<std::uint64_t> ContentLengthOf(const AnswerStart& answer) {
  const auto text = FindHeader(answer.m_headers, "Content-Length");
  if (!text) {
    return std::nullopt;
  }
  return std::stoull(std::string(*text));
}

}  // namespace

// One call on its way through the entry, over all its attempts.
struct EntryService::Progress {
  explicit Progress(HttpExchange& exchange) : m_exchange(exchange) {}

  HttpExchange& m_exchange;
  EntryCall m_call;
  std::string m_body;
  bool m_body_complete = true;

  CallBudget m_own_budget;
  std::string m_parent_record;
  std::uint64_t m_child_number = 0;

  std::vector<NodeId> m_tried;
  std::optional<NodeId> m_redirect;
  std::size_t m_reroutes = 0;
  std::size_t m_attempts = 0;
  std::optional<ChildGrant> m_grant;
  OutboundCall m_outbound;
  std::optional<AnswerStart> m_answer;
  bool m_watching = false;
  bool m_caller_gone = false;
  bool m_any_unknown = false;
  bool m_pump_running = false;
  bool m_body_taken = false;
  FiberEvent m_pump_ended;
};

EntryService::EntryService(NodeCore& core,
                           TargetGate& gate,
                           std::function<void(const ServiceName&)> want_service)
    : m_core(core), m_gate(gate), m_want_service(std::move(want_service)) {}

void EntryService::Serve(HttpExchange& exchange) {
  Progress progress(exchange);
  progress.m_call.m_root = m_core.NewRequestId();
  progress.m_call.m_arrived = SteadyNow();
  Result<CallerRequest> request = ParseCallerRequest(exchange.head());
  if (!request) {
    Reject(progress,
           RefuseBySignal(Reason::kMalformedRequest, {"request_head", 0, 0}),
           request.reason());
    return;
  }
  progress.m_call.m_request = std::move(*request);
  ++m_core.m_entry_calls;
  std::optional<Refusal> refusal = Prepare(progress);
  if (!refusal) {
    refusal = Send(progress);
  }
  if (refusal) {
    Reject(progress, *refusal, "");
  } else if (!progress.m_caller_gone) {
    RelayAnswer(progress);
  }
  CountObjective(progress, refusal.has_value());
  StopBodyPump(progress);
  const auto parent = m_core.m_records.find(progress.m_parent_record);
  if (parent != m_core.m_records.end()) {
    parent->second.m_cancel_children.erase(progress.m_child_number);
  }
  --m_core.m_entry_calls;
}

std::optional<Refusal> EntryService::Prepare(Progress& progress) {
  EntryCall& call = progress.m_call;
  const CallerLimits& limits = m_core.m_settings.m_limits;
  if (m_core.m_entry_calls > limits.m_calls) {
    return RefuseBySignal(
        Reason::kNodeOverloaded,
        {"entry_calls", static_cast<double>(m_core.m_entry_calls),
         static_cast<double>(limits.m_calls)});
  }
  if (!m_core.m_policy_known) {
    return RefuseBySignal(Reason::kPolicyUnknown, {"policy_revision", 0, 1});
  }
  const auto first = progress.m_exchange.ReadBody();
  if (!first) {
    const bool large = progress.m_exchange.body_too_large();
    return RefuseBySignal(
        large ? Reason::kBodyTooLarge : Reason::kMalformedRequest,
        {"body_bytes", 0, static_cast<double>(limits.m_body_bytes)});
  }
  progress.m_body = *first;
  progress.m_body_complete =
      first->empty() || call.m_request.m_content_length == first->size();
  if (progress.m_body_complete) {
    call.m_request.m_content_length = first->size();
  }
  call.m_policy = m_core.m_entry.m_policy;
  call.m_is_root = call.m_request.m_parent.empty();
  const Millis left =
      Min(call.m_request.m_time_left.value_or(limits.m_default_deadline),
          limits.m_longest_deadline);
  call.m_deadline = call.m_arrived + left;
  const ServiceName& service = call.m_request.m_service;
  call.m_kind = KindOf(service, call.m_request.m_method, call.m_request.m_path);
  call.m_fingerprint = DigestOf({service.value(), call.m_request.m_method,
                                 call.m_request.m_path, progress.m_body});
  if (call.m_is_root) {
    ++m_core.m_counters.m_entry_calls;
    call.m_caller = IdentifyCaller(*call.m_policy, call.m_request.m_caller,
                                   call.m_request.m_token);
  } else if (auto refusal = TieToParent(call)) {
    return refusal;
  }
  call.m_resend_fingerprint =
      DigestOf({std::to_string(call.m_fingerprint.value()),
                call.m_caller.value(), call.m_request.m_key});
  call.m_verdict =
      Classify(*call.m_policy,
               {call.m_caller.value(), service.value(), call.m_request.m_method,
                PathOnly(call.m_request.m_path)});
  if (call.m_is_root) {
    call.m_class = call.m_verdict.m_class;
    progress.m_own_budget.m_left = call.m_verdict.m_extra_attempts;
  }
  m_want_service(service);
  if (m_core.m_entry.m_services.count(service) == 0) {
    return RefuseBySignal(Reason::kUnknownService, {"members", 0, 1});
  }
  std::vector<double> randoms(EntryFilters().size());
  for (double& random : randoms) {
    random = m_core.Random();
  }
  return RunFilters(m_core.m_entry, call, randoms, SteadyNow());
}

std::optional<Refusal> EntryService::TieToParent(EntryCall& call) {
  ++m_core.m_counters.m_egress_calls;
  const auto found = m_core.m_records.find(call.m_request.m_parent);
  if (found == m_core.m_records.end()) {
    return RefuseBySignal(Reason::kParentEnded, {kUnknownParent, 0, 1});
  }
  const InboundRecord& parent = found->second;
  call.m_root = parent.m_root;
  call.m_caller = parent.m_caller;
  call.m_class = parent.m_class;
  call.m_depth = parent.m_depth + 1;
  call.m_deadline = Min(call.m_deadline, parent.m_deadline);
  m_gate.RecordChildKind(parent.m_kind, call.m_kind);
  return std::nullopt;
}

CallBudget& EntryService::BudgetOf(Progress& progress) {
  const auto parent = m_core.m_records.find(progress.m_call.m_request.m_parent);
  return parent == m_core.m_records.end() ? progress.m_own_budget
                                          : parent->second.m_budget;
}

std::optional<Refusal> EntryService::Send(Progress& progress) {
  EntryCall& call = progress.m_call;
  const auto parent = m_core.m_records.find(call.m_request.m_parent);
  if (parent != m_core.m_records.end()) {
    progress.m_parent_record = parent->first;
    progress.m_child_number = ++parent->second.m_last_child;
    parent->second.m_cancel_children[progress.m_child_number] = [&progress] {
      progress.m_caller_gone = true;
      if (progress.m_outbound.m_state) {
        progress.m_outbound.m_state->Cancel();
      }
    };
  }
  std::optional<Refusal> last;
  while (true) {
    const auto node = NextTarget(progress);
    if (!node) {
      Refusal none = RefuseBySignal(Reason::kNoTarget, {"targets", 0, 1});
      none.m_retry_after = kNoTargetRetryAfter;
      return last ? last : none;
    }
    if (!progress.m_grant && !Charge(progress)) {
      return last ? last
                  : RefuseByRule(Reason::kRetryBudget,
                                 call.m_verdict.m_repetition_rule);
    }
    const Millis sent = SteadyNow();
    progress.m_answer.reset();
    last = TryTarget(progress, *node);
    RecordAttempt(progress, *node, last, sent);
    if (!last || progress.m_caller_gone) {
      return std::nullopt;
    }
    progress.m_any_unknown |= last->m_execution == Execution::kUnknown;
    if (!PlanNextAttempt(progress, *node, *last)) {
      return last;
    }
  }
}

std::optional<NodeId> EntryService::NextTarget(Progress& progress) {
  if (progress.m_redirect) {
    return std::exchange(progress.m_redirect, std::nullopt);
  }
  const Balancer& balancer =
      m_core.m_entry.m_services[progress.m_call.m_request.m_service];
  return ChooseTarget(balancer, progress.m_tried, m_core.m_settings.m_region,
                      {m_core.Random(), m_core.Random()}, SteadyNow());
}

// Charges an attempt to the budget of the root request.
bool EntryService::Charge(Progress& progress) {
  const EntryCall& call = progress.m_call;
  progress.m_grant =
      ChargeChild(BudgetOf(progress),
                  m_core.m_entry.m_retry_buckets[call.m_request.m_service],
                  call.m_fingerprint, call.m_verdict.m_ratio_per_hop);
  if (!progress.m_grant && m_core.m_entry.m_pass_through) {
    progress.m_grant = ChildGrant();
  }
  return progress.m_grant.has_value();
}

// Decides whether the call goes on after an attempt without an answer, and
// prepares the next one.
bool EntryService::PlanNextAttempt(Progress& progress,
                                   const NodeId& node,
                                   const Refusal& refusal) {
  const EntryCall& call = progress.m_call;
  progress.m_tried.push_back(node);
  const AttemptEnd end{call.m_verdict.m_idempotent, !progress.m_body_taken,
                       SteadyNow() < call.m_deadline, progress.m_reroutes};
  NextStep step = m_core.m_entry.m_pass_through ? NextStep::kGiveUp
                                                : DecideNextStep(refusal, end);
  if (progress.m_answer && !progress.m_answer->m_redirect.empty()) {
    step = FollowRedirect(progress, end);
  }
  if (step == NextStep::kGiveUp) {
    return false;
  }
  const bool reroute = step == NextStep::kReroute;
  Note(progress, node, refusal, reroute ? "rerouted" : "retried");
  if (!reroute) {
    progress.m_grant.reset();
    ++m_core.m_counters.m_retries;
    return true;
  }
  ++progress.m_reroutes;
  ++m_core.m_counters.m_reroutes;
  CallBudget& budget = BudgetOf(progress);
  if (!progress.m_answer) {
    SettleChild(budget, *progress.m_grant, 0);
  }
  progress.m_grant = RegrantChild(budget, *progress.m_grant);
  return true;
}

// A resend goes to the node that runs the first call with its key.
NextStep EntryService::FollowRedirect(Progress& progress,
                                      const AttemptEnd& end) {
  const NodeId& holder = progress.m_answer->m_redirect;
  const bool tried = std::find(progress.m_tried.begin(), progress.m_tried.end(),
                               holder) != progress.m_tried.end();
  const bool possible = !tried && end.m_replayable && end.m_time_left &&
                        end.m_reroutes < kMaxReroutes;
  if (!possible) {
    return NextStep::kGiveUp;
  }
  progress.m_redirect = holder;
  return NextStep::kReroute;
}

CallStart EntryService::MakeStart(const Progress& progress) const {
  const EntryCall& call = progress.m_call;
  CallStart start;
  CallTerms& terms = start.m_terms;
  terms.m_root = call.m_root;
  terms.m_caller = call.m_caller;
  terms.m_class = call.m_class;
  terms.m_depth = call.m_depth;
  terms.m_extra_attempts = progress.m_grant->m_extra_attempts;
  terms.m_repeat = progress.m_grant->m_repeat;
  terms.m_idempotent = call.m_verdict.m_idempotent;
  terms.m_long = call.m_verdict.m_long;
  terms.m_suspect = call.m_suspect;
  terms.m_key = call.m_request.m_key;
  terms.m_fingerprint = call.m_fingerprint;
  terms.m_time_left = call.m_deadline - SteadyNow();
  terms.m_revision = call.m_policy->m_revision;
  start.m_request.m_service = call.m_request.m_service;
  start.m_request.m_method = call.m_request.m_method;
  start.m_request.m_path = call.m_request.m_path;
  start.m_request.m_headers = call.m_request.m_headers;
  start.m_request.m_content_length = call.m_request.m_content_length;
  start.m_body.m_data = progress.m_body;
  start.m_complete = progress.m_body_complete;
  return start;
}

Result<OutboundCall> EntryService::Open(Progress& progress,
                                        const NodeId& node) {
  using CallResult = Result<OutboundCall>;
  if (node == m_core.m_settings.m_node) {
    LocalCall local = MakeLocalCall(MakeStart(progress));
    m_core.m_loop.Spawn([this, inbound = std::make_shared<InboundCall>(
                                   std::move(local.m_inbound))] {
      m_gate.Serve(std::move(*inbound));
    });
    return std::move(local.m_outbound);
  }
  const auto member = m_core.m_members.find(node);
  if (member == m_core.m_members.end()) {
    return CallResult::Failure("the target's node is no longer a member");
  }
  const Result<Endpoint> endpoint = ParseEndpoint(member->second.m_peer);
  if (!endpoint) {
    return CallResult::Failure(endpoint.reason());
  }
  const Millis until =
      Min(progress.m_call.m_deadline, SteadyNow() + kLinkTimeout);
  const Result<LinkId> link = m_core.m_links->LinkTo(*endpoint, until);
  if (!link) {
    return CallResult::Failure(link.reason());
  }
  return m_core.m_links->StartCall(*link, MakeStart(progress));
}

std::optional<Refusal> EntryService::TryTarget(Progress& progress,
                                               const NodeId& node) {
  Balancer& balancer =
      m_core.m_entry.m_services[progress.m_call.m_request.m_service];
  RecordSent(balancer, node);
  ++progress.m_attempts;
  Result<OutboundCall> opened = Open(progress, node);
  if (!opened) {
    return RefuseBySignal(Reason::kTargetUnreachable, {"link", 0, 1});
  }
  progress.m_outbound = std::move(*opened);
  if (!progress.m_watching && progress.m_body_complete) {
    progress.m_watching = true;
    progress.m_exchange.WatchCaller([&progress] {
      progress.m_caller_gone = true;
      progress.m_outbound.m_state->Cancel();
    });
  }
  return AwaitAnswer(progress, node);
}

std::optional<Refusal> EntryService::AwaitAnswer(Progress& progress,
                                                 const NodeId& node) {
  EntryCall& call = progress.m_call;
  CallState& state = *progress.m_outbound.m_state;
  if (!progress.m_body_complete) {
    const bool settled = state.m_changed.WaitUntil(call.m_deadline, [&state] {
      return state.m_answer || state.m_lost || state.m_cancelled ||
             state.m_body_wanted;
    });
    if (settled && state.m_body_wanted && !state.m_answer) {
      StartBodyPump(progress);
    }
  }
  progress.m_answer = progress.m_outbound.AwaitAnswer(call.m_deadline);
  if (progress.m_answer) {
    RecordLoad(m_core.m_entry.m_services[call.m_request.m_service], node,
               progress.m_answer->m_load, SteadyNow());
    RecordThreshold(m_core.m_entry.m_thresholds, call.m_kind, node,
                    progress.m_answer->m_load.m_threshold, SteadyNow());
    SettleChild(BudgetOf(progress), *progress.m_grant,
                progress.m_answer->m_spent);
    return progress.m_answer->m_refusal;
  }
  if (progress.m_caller_gone) {
    progress.m_outbound.m_sender->Cancel("the caller is gone");
    return EndedUnknown(Reason::kCancelled, {"caller_gone", 1, 0});
  }
  if (progress.m_exchange.body_too_large()) {
    progress.m_outbound.m_sender->Cancel("the body is too large");
    const auto bound =
        static_cast<double>(m_core.m_settings.m_limits.m_body_bytes);
    return EndedUnknown(Reason::kBodyTooLarge, {"body_bytes", bound, bound});
  }
  if (state.m_lost) {
    return EndedUnknown(Reason::kNodeLost, {"link_lost", 1, 0});
  }
  progress.m_outbound.m_sender->Cancel("the deadline has passed");
  const Millis over = SteadyNow() - call.m_deadline;
  return EndedUnknown(Reason::kDeadlinePassed,
                      {"ms_past_deadline", over.value(), 0});
}

void EntryService::StartBodyPump(Progress& progress) {
  progress.m_body_taken = true;
  progress.m_pump_running = true;
  m_core.m_loop.Spawn([&progress] {
    bool more = true;
    while (more) {
      auto bytes = progress.m_exchange.ReadBody();
      if (!bytes) {
        progress.m_caller_gone = !progress.m_exchange.body_too_large();
        progress.m_outbound.m_state->Cancel();
        break;
      }
      const bool complete = bytes->empty();
      more =
          progress.m_outbound.m_sender->SendBody(std::move(*bytes), complete) &&
          !complete;
    }
    progress.m_pump_running = false;
    progress.m_pump_ended.Notify();
  });
}

// The pump may wait for a caller that sends slowly, or not at all.
void EntryService::StopBodyPump(Progress& progress) {
  if (!progress.m_pump_running) {
    return;
  }
  progress.m_outbound.m_state->m_request_credit.Close();
  progress.m_exchange.Abort();
  progress.m_pump_ended.Wait([&progress] { return !progress.m_pump_running; });
}

void EntryService::RecordAttempt(Progress& progress,
                                 const NodeId& node,
                                 const std::optional<Refusal>& refusal,
                                 Millis sent) {
  const EntryCall& call = progress.m_call;
  const Millis now = SteadyNow();
  SendEnd end = SendEnd::kAnswered;
  if (progress.m_caller_gone) {
    end = SendEnd::kCancelled;
  } else if (refusal) {
    const bool unreachable = refusal->m_reason == Reason::kTargetUnreachable;
    const bool failed = refusal->m_execution == Execution::kUnknown &&
                        refusal->m_reason != Reason::kBodyTooLarge;
    end = unreachable || failed ? SendEnd::kFailed : SendEnd::kRefused;
  }
  RecordEnd(m_core.m_entry.m_services[call.m_request.m_service], node, end,
            call.m_kind, now - sent, now);
  if (end != SendEnd::kCancelled) {
    CountForThrottle(call, refusal, now);
  }
}

void EntryService::CountForThrottle(const EntryCall& call,
                                    const std::optional<Refusal>& refusal,
                                    Millis now) {
  const bool leaving =
      refusal && (refusal->m_reason == Reason::kTargetLeaving ||
                  refusal->m_reason == Reason::kNodeLeaving);
  if (leaving) {
    return;
  }
  ThrottleState& throttle =
      m_core.m_entry.m_throttles[call.m_request.m_service];
  RecordThrottleRequest(throttle, now);
  // A shed call says that the service is alive; its threshold is told anyway.
  if (!refusal || refusal->m_reason == Reason::kShed) {
    RecordThrottleAccept(throttle, now);
  }
}

void EntryService::RelayAnswer(Progress& progress) {
  ++m_core.m_counters.m_entry_answers;
  AnswerStart& answer = *progress.m_answer;
  HttpResponseHead head;
  head.m_status = static_cast<unsigned>(answer.m_status);
  head.m_content_length = ContentLengthOf(answer);
  head.m_headers = AnswerFields(answer.m_headers, progress.m_call.m_root,
                                progress.m_attempts);
  if (answer.m_replayed) {
    head.m_headers.push_back({field::kReplayed, "true"});
  }
  BodyPipe& body = progress.m_outbound.m_state->m_answer_body;
  if (answer.m_complete) {
    std::string whole;
    if (body.buffered() > 0) {
      whole = body.Pop().value_or("");
    }
    progress.m_exchange.Respond(head, whole);
    return;
  }
  bool open = progress.m_exchange.StartResponse(head);
  while (open) {
    const auto bytes = body.Pop();
    if (!bytes) {
      progress.m_exchange.Abort();
      return;
    }
    if (bytes->empty()) {
      progress.m_exchange.FinishResponse();
      return;
    }
    open = progress.m_exchange.WriteBody(*bytes);
  }
  progress.m_outbound.m_sender->Cancel("the caller is gone");
  progress.m_outbound.m_state->Cancel();
}

void EntryService::Reject(Progress& progress,
                          Refusal refusal,
                          const std::string& detail) {
  const EntryCall& call = progress.m_call;
  if (progress.m_any_unknown) {
    refusal.m_execution = Execution::kUnknown;
  }
  if (refusal.m_node.empty()) {
    refusal.m_node = m_core.m_settings.m_node;
  }
  if (refusal.m_retry_after > Millis(0)) {
    refusal.m_retry_after = JitteredRetryAfter(
        Max(refusal.m_retry_after, kShortestRetryAfter), m_core.Random());
  }
  ++m_core.m_counters.m_refusals[static_cast<std::size_t>(refusal.m_reason)];
  const NodeId target =
      progress.m_tried.empty() ? NodeId() : progress.m_tried.back();
  Note(progress, target, refusal, "refused");
  if (call.m_policy && IsAttributable(call)) {
    const Millis now = SteadyNow();
    FailedRequest failure;
    failure.m_root = call.m_root;
    failure.m_when = now;
    failure.m_free_after = now + refusal.m_retry_after;
    failure.m_not_run = refusal.m_execution == Execution::kNotRun;
    RememberFailure(m_core.m_entry.m_resends, call.m_resend_fingerprint,
                    failure);
  }
  const RefusalResponse response =
      MakeRefusalResponse(refusal, call.m_root, detail);
  progress.m_exchange.Respond(response.m_head, response.m_body);
}

// Only root calls count, and only those whose caller stayed to the end.
void EntryService::CountObjective(const Progress& progress, bool refused) {
  const EntryCall& call = progress.m_call;
  if (!call.m_is_root || !call.m_policy || progress.m_caller_gone) {
    return;
  }
  constexpr std::uint64_t kServerError = 500;
  const bool answered = !refused && progress.m_answer &&
                        progress.m_answer->m_status < kServerError;
  const Millis now = SteadyNow();
  RecordObjective(m_core.m_burn, *call.m_policy,
                  {call.m_caller.value(), call.m_request.m_service.value(),
                   call.m_request.m_method, PathOnly(call.m_request.m_path)},
                  call.m_class, answered, now - call.m_arrived, now);
}

void EntryService::Note(const Progress& progress,
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
  m_core.m_decisions.Add(std::move(decision));
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
