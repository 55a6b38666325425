// EntryService: choice of targets and the attempts of a call, which run one
// after another.

#include <algorithm>
#include <utility>

#include "hemlockpoint/node/entry_progress.h"
#include "hemlockpoint/node/entry_service.h"
#include "hemlockpoint/retry/next_step.h"

namespace hemlockpoint {

namespace {

constexpr Millis kLinkTimeout(300);
constexpr Millis kNoTargetRetryAfter(500);

}  // namespace

RetryBudget& EntryService::BudgetOf(Progress& progress) {
  const auto parent =
      m_context.m_running_calls.find(progress.m_call.m_request.m_parent);
  return parent == m_context.m_running_calls.end() ? progress.m_own_budget
                                                   : parent->second.m_budget;
}

std::optional<Refusal> EntryService::RunAttempts(Progress& progress) {
  EntryCall& call = progress.m_call;
  const auto parent = m_context.m_running_calls.find(call.m_request.m_parent);
  if (parent != m_context.m_running_calls.end()) {
    progress.m_parent_call_id = parent->first;
    progress.m_child_number = ++parent->second.m_last_child_number;
    parent->second.m_cancel_children[progress.m_child_number] = [&progress] {
      progress.m_caller_gone = true;
      if (progress.m_outbound.m_state) {
        progress.m_outbound.m_state->Cancel();
      }
    };
  }
  std::optional<Refusal> last_refusal;
  while (true) {
    const auto node = NextTarget(progress);
    if (!node) {
      Refusal none = MakeSignalRefusal(Reason::kNoTarget, {"targets", 0, 1});
      none.m_retry_after = kNoTargetRetryAfter;
      return last_refusal ? last_refusal : none;
    }
    if (!progress.m_grant && !ChargeAttempt(progress)) {
      return last_refusal ? last_refusal
                          : MakeRuleRefusal(Reason::kRetryBudget,
                                            call.m_verdict.m_repetition_rule);
    }
    const Millis sent = SteadyNow();
    progress.m_response.reset();
    last_refusal = TryTarget(progress, *node);
    RecordAttempt(progress, *node, last_refusal, sent);
    if (!last_refusal || progress.m_caller_gone) {
      return std::nullopt;
    }
    progress.m_may_have_run |= last_refusal->m_execution == Execution::kUnknown;
    if (!PlanNextAttempt(progress, *node, *last_refusal)) {
      return last_refusal;
    }
  }
}

std::optional<NodeId> EntryService::NextTarget(Progress& progress) {
  if (progress.m_redirect) {
    return std::exchange(progress.m_redirect, std::nullopt);
  }
  const Balancer& balancer =
      m_context.m_entry.m_services[progress.m_call.m_request.m_service];
  return ChooseTarget(balancer, progress.m_tried, m_context.m_settings.m_region,
                      {m_context.Random(), m_context.Random()}, SteadyNow());
}

// Charges an attempt to the budget of the parent call or, for a root call, to
// its own budget.
bool EntryService::ChargeAttempt(Progress& progress) {
  const EntryCall& call = progress.m_call;
  progress.m_grant = ChargeChildAttempt(
      BudgetOf(progress),
      m_context.m_entry.m_retry_buckets[call.m_request.m_service],
      call.m_fingerprint, call.m_verdict.m_ratio_per_hop);
  if (!progress.m_grant && m_context.m_entry.m_pass_through) {
    progress.m_grant = ChildGrant();
  }
  return progress.m_grant.has_value();
}

// Decides whether another attempt follows one that ended without a response
// of the target, and prepares it.
bool EntryService::PlanNextAttempt(Progress& progress,
                                   const NodeId& node,
                                   const Refusal& refusal) {
  const EntryCall& call = progress.m_call;
  progress.m_tried.push_back(node);
  const AttemptEnd end{call.m_verdict.m_idempotent,
                       !progress.m_is_body_consumed,
                       SteadyNow() < call.m_deadline, progress.m_reroutes};
  NextStep step = m_context.m_entry.m_pass_through
                      ? NextStep::kGiveUp
                      : DecideNextStep(refusal, end);
  if (progress.m_response && !progress.m_response->m_redirect.empty()) {
    step = FollowRedirect(progress, end);
  }
  if (step == NextStep::kGiveUp) {
    return false;
  }
  const bool is_reroute = step == NextStep::kReroute;
  RecordDecision(progress, node, refusal, is_reroute ? "rerouted" : "retried");
  if (!is_reroute) {
    progress.m_grant.reset();
    ++m_context.m_counters.m_retries;
    return true;
  }
  ++progress.m_reroutes;
  ++m_context.m_counters.m_reroutes;
  RetryBudget& budget = BudgetOf(progress);
  if (!progress.m_response) {
    SettleChildGrant(budget, *progress.m_grant, 0);
  }
  progress.m_grant = RenewChildGrant(budget, *progress.m_grant);
  return true;
}

// Directs the next attempt of a call whose idempotency key is already claimed
// to the node that runs, or has run, the first call with this key.
NextStep EntryService::FollowRedirect(Progress& progress,
                                      const AttemptEnd& end) {
  const NodeId& holder = progress.m_response->m_redirect;
  const bool was_tried =
      std::find(progress.m_tried.begin(), progress.m_tried.end(), holder) !=
      progress.m_tried.end();
  const bool is_possible = !was_tried && end.m_has_replayable_body &&
                           end.m_time_left && end.m_reroutes < kMaxReroutes;
  if (!is_possible) {
    return NextStep::kGiveUp;
  }
  progress.m_redirect = holder;
  return NextStep::kReroute;
}

CallStart EntryService::MakeStart(const Progress& progress) const {
  const EntryCall& call = progress.m_call;
  CallStart start;
  CallMetadata& metadata = start.m_metadata;
  metadata.m_root = call.m_root;
  metadata.m_caller = call.m_caller;
  metadata.m_class = call.m_class;
  metadata.m_depth = call.m_depth;
  metadata.m_extra_attempts = progress.m_grant->m_extra_attempts;
  metadata.m_is_retry = progress.m_grant->m_is_retry;
  metadata.m_idempotent = call.m_verdict.m_idempotent;
  metadata.m_long = call.m_verdict.m_long;
  metadata.m_suspect = call.m_suspect;
  metadata.m_key = call.m_request.m_key;
  metadata.m_fingerprint = call.m_fingerprint;
  metadata.m_time_left = call.m_deadline - SteadyNow();
  metadata.m_revision = call.m_policy->m_revision;
  start.m_request.m_service = call.m_request.m_service;
  start.m_request.m_method = call.m_request.m_method;
  start.m_request.m_path = call.m_request.m_path;
  start.m_request.m_headers = call.m_request.m_headers;
  start.m_request.m_content_length = call.m_request.m_content_length;
  start.m_body.m_data = progress.m_body;
  start.m_complete = progress.m_is_body_complete;
  return start;
}

Result<OutboundCall> EntryService::OpenCall(Progress& progress,
                                            const NodeId& node) {
  using CallResult = Result<OutboundCall>;
  if (node == m_context.m_settings.m_node) {
    LocalCall local = MakeLocalCall(MakeStart(progress));
    m_dispatcher.Accept(std::move(local.m_inbound));
    return std::move(local.m_outbound);
  }
  const auto member = m_context.m_members.find(node);
  if (member == m_context.m_members.end()) {
    return CallResult::Failure("the target's node is no longer a member");
  }
  const Result<Endpoint> endpoint = ParseEndpoint(member->second.m_peer);
  if (!endpoint) {
    return CallResult::Failure(endpoint.reason());
  }
  const Millis until =
      Min(progress.m_call.m_deadline, SteadyNow() + kLinkTimeout);
  const Result<LinkId> link = m_context.m_links->EnsureLink(*endpoint, until);
  if (!link) {
    return CallResult::Failure(link.reason());
  }
  return m_context.m_links->StartCall(*link, MakeStart(progress));
}

std::optional<Refusal> EntryService::TryTarget(Progress& progress,
                                               const NodeId& node) {
  Balancer& balancer =
      m_context.m_entry.m_services[progress.m_call.m_request.m_service];
  RecordSent(balancer, node);
  ++progress.m_attempts;
  Result<OutboundCall> opened = OpenCall(progress, node);
  if (!opened) {
    return MakeSignalRefusal(Reason::kTargetUnreachable, {"link", 0, 1});
  }
  progress.m_outbound = std::move(*opened);
  if (!progress.m_has_disconnect_callback && progress.m_is_body_complete) {
    progress.m_has_disconnect_callback = true;
    progress.m_exchange.SetDisconnectCallback([&progress] {
      progress.m_caller_gone = true;
      progress.m_outbound.m_state->Cancel();
    });
  }
  return AwaitResponse(progress, node);
}

std::optional<Refusal> EntryService::AwaitResponse(Progress& progress,
                                                   const NodeId& node) {
  EntryCall& call = progress.m_call;
  CallState& state = *progress.m_outbound.m_state;
  if (!progress.m_is_body_complete) {
    const bool is_settled =
        state.m_changed.WaitUntil(call.m_deadline, [&state] {
          return state.m_response || state.m_is_target_lost ||
                 state.m_cancelled || state.m_has_request_credit;
        });
    if (is_settled && state.m_has_request_credit && !state.m_response) {
      StartBodyStreaming(progress);
    }
  }
  // A silent node may only be stalled, with its target at work. Other than
  // idempotent calls can't be sent to another target, so they wait for it.
  progress.m_response =
      call.m_verdict.m_idempotent
          ? progress.m_outbound.AwaitResponseOrSilence(call.m_deadline)
          : progress.m_outbound.AwaitResponse(call.m_deadline);
  if (progress.m_response) {
    RecordLoad(m_context.m_entry.m_services[call.m_request.m_service], node,
               progress.m_response->m_load, SteadyNow());
    RecordThreshold(m_context.m_entry.m_thresholds, call.m_kind, node,
                    progress.m_response->m_load.m_threshold, SteadyNow());
    SettleChildGrant(BudgetOf(progress), *progress.m_grant,
                     progress.m_response->m_spent);
    return progress.m_response->m_refusal;
  }
  if (progress.m_caller_gone) {
    progress.m_outbound.m_sender->Cancel("the caller is gone");
    return MakeUnknownOutcome(Reason::kCancelled, {"caller_gone", 1, 0});
  }
  if (progress.m_exchange.body_error() == BodyError::kTooLarge) {
    progress.m_outbound.m_sender->Cancel("the body is too large");
    const auto max_body_bytes =
        static_cast<double>(m_context.m_settings.m_limits.m_body_bytes);
    return MakeUnknownOutcome(Reason::kBodyTooLarge,
                              {"body_bytes", max_body_bytes, max_body_bytes});
  }
  if (progress.m_exchange.body_error() == BodyError::kTimedOut) {
    progress.m_outbound.m_sender->Cancel("the body is incomplete");
    return MakeUnknownOutcome(Reason::kBodyTimeout, {"body_silent", 1, 0});
  }
  if (state.m_is_target_lost) {
    return MakeUnknownOutcome(Reason::kNodeLost, {"link_lost", 1, 0});
  }
  if (state.m_is_peer_silent && call.m_verdict.m_idempotent) {
    progress.m_outbound.m_sender->Cancel("silent");
    return MakeUnknownOutcome(Reason::kNodeLost, {"silent", 1, 0});
  }
  progress.m_outbound.m_sender->Cancel("the deadline has passed");
  const Millis overdue_by = SteadyNow() - call.m_deadline;
  return MakeUnknownOutcome(Reason::kDeadlinePassed,
                            {"ms_past_deadline", overdue_by.value(), 0});
}

void EntryService::StartBodyStreaming(Progress& progress) {
  progress.m_is_body_consumed = true;
  progress.m_is_streaming_body = true;
  m_context.m_loop.Spawn([&progress] {
    bool has_more = true;
    while (has_more) {
      auto bytes = progress.m_exchange.ReadBody(progress.m_call.m_deadline);
      if (!bytes) {
        progress.m_caller_gone =
            progress.m_exchange.body_error() == BodyError::kBroken;
        progress.m_outbound.m_state->Cancel();
        break;
      }
      const bool is_complete = bytes->empty();
      has_more = progress.m_outbound.m_sender->SendBody(std::move(*bytes),
                                                        is_complete) &&
                 !is_complete;
    }
    progress.m_is_streaming_body = false;
    progress.m_body_streaming_ended.Notify();
  });
}

// The streaming fiber may be waiting for credit, or for a caller that sends
// slowly or not at all.
void EntryService::StopBodyStreaming(Progress& progress) {
  if (!progress.m_is_streaming_body) {
    return;
  }
  progress.m_outbound.m_state->m_request_credit.Close();
  progress.m_exchange.StopReadingBody();
  progress.m_body_streaming_ended.Wait(
      [&progress] { return !progress.m_is_streaming_body; });
}

void EntryService::RecordAttempt(Progress& progress,
                                 const NodeId& node,
                                 const std::optional<Refusal>& refusal,
                                 Millis sent) {
  const EntryCall& call = progress.m_call;
  const Millis now = SteadyNow();
  SendOutcome end = SendOutcome::kAnswered;
  if (progress.m_caller_gone) {
    end = SendOutcome::kCancelled;
  } else if (refusal) {
    const bool is_unreachable = refusal->m_reason == Reason::kTargetUnreachable;
    const bool is_failed = refusal->m_execution == Execution::kUnknown &&
                           refusal->m_reason != Reason::kBodyTooLarge &&
                           refusal->m_reason != Reason::kBodyTimeout;
    end = is_unreachable || is_failed ? SendOutcome::kFailed
                                      : SendOutcome::kRefused;
  }
  RecordEnd(m_context.m_entry.m_services[call.m_request.m_service], node, end,
            call.m_kind, now - sent, now);
  if (end != SendOutcome::kCancelled) {
    RecordForThrottle(call, refusal, now);
  }
}

void EntryService::RecordForThrottle(const EntryCall& call,
                                     const std::optional<Refusal>& refusal,
                                     Millis now) {
  const bool is_leaving =
      refusal && (refusal->m_reason == Reason::kTargetLeaving ||
                  refusal->m_reason == Reason::kNodeLeaving);
  if (is_leaving) {
    return;
  }
  ThrottleState& throttle =
      m_context.m_entry.m_throttles[call.m_request.m_service];
  RecordThrottleRequest(throttle, now);
  // A shed call counts as accepted, because it shows that the service is alive
  // and its shedding threshold is reported separately.
  if (!refusal || refusal->m_reason == Reason::kShed) {
    RecordThrottleAccept(throttle, now);
  }
}

}  // namespace hemlockpoint
