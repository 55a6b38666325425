// Chooses the target of each attempt and decides whether another one follows.

#include <algorithm>
#include <utility>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/relay/request_router.h"

namespace hemlockpoint {

namespace {

constexpr Millis kLinkTimeout(500);
// Time after the deadline during which the target's node can still report how
// the call ended.
constexpr Millis kResponseGrace(120);
// Nodes that may refuse a request in turn before it reaches a target. Each
// refusal costs a round trip.
constexpr std::size_t kMaxReroutes = 4;
// The same for refusals because of a long queue. The targets are tried in the
// order of their expected latency, so each further one is less likely to have
// room, and a refusal costs processor time at two nodes that have little left.
constexpr std::size_t kMaxReroutesOverloaded = 2;
constexpr std::uint64_t kServerError = 500;
// Bytes of the body that are sent together with the start of a call.
constexpr std::size_t kFirstBodyBytes = std::size_t{512} * 1024;
// Time during which a node is not chosen after its link failed.
constexpr Millis kAvoidUnreachable(1000);
// The same after the node or its target refused the call as leaving, missing or
// unreachable.
constexpr Millis kAvoidLeaving(500);
constexpr Millis kRetryWithoutTarget(500);
// Cost of sending one KiB to another failure domain, as a share of the value of
// a request.
constexpr double kCrossingCostPerKib = 0.02;
// Size of the heads of a call and its response on a link between nodes.
constexpr double kHeadBytes = 512;
// Failure rate of calls that is attributed to the work itself. A higher rate at
// the calling target increases the weight of the response time in the choice of
// a target for its nested calls. The increase reaches about 1, the value of a
// call, when half of the calls fail.
constexpr double kExpectedFailureRate = 0.03;
constexpr double kFailureRateWeight = 2;
// A call that exceeds its deadline counts as a failure of the target only if it
// took longer than this multiple of the typical response time.
constexpr double kSlowFailureFactor = 2;
// Share of the configured retry limits that a node uses on its own. The
// remainder covers the nodes' windows not being aligned with each other.
constexpr double kOwnRetryRatioShare = 0.85;
constexpr double kOwnRetrySlackShare = 0.3;
// A leaving node passes a request on only if it has this multiple of the
// expected duration left. Durations vary around the expectation, which is a
// mean.
constexpr double kStopTimeFactor = 2;

bool IsLackOfCapacity(Reason reason) {
  return reason == Reason::kDeadlineUnreachable ||
         reason == Reason::kDeadlinePassed || reason == Reason::kQueueFull ||
         reason == Reason::kTargetRefused || reason == Reason::kNodeOverloaded;
}

std::size_t MaxReroutes(const Refusal& refusal) {
  return IsLackOfCapacity(refusal.m_reason) ? kMaxReroutesOverloaded
                                            : kMaxReroutes;
}

}  // namespace

RetryAllowance RequestRouter::MakeRetryAllowance(const ServiceName&) const {
  const RetryLimits& bounds = m_context.m_settings.m_repeats;
  RetryAllowance allowance;
  allowance.m_window = bounds.m_window;
  allowance.m_ratio = bounds.m_ratio * kOwnRetryRatioShare;
  const auto nodes = static_cast<double>(m_context.m_members.size() + 1);
  allowance.m_slack = bounds.m_slack * kOwnRetrySlackShare / nodes;
  return allowance;
}

std::optional<NodeId> RequestRouter::ChooseTarget(const RoutedCall& call) {
  const auto peers = m_context.m_targets_by_service.find(call.m_service);
  if (peers == m_context.m_targets_by_service.end()) {
    return std::nullopt;
  }
  const Millis now = SteadyNow();
  ChoiceCriteria terms;
  terms.m_typical_latency = ExpectedServiceTime(m_context.m_response_times,
                                                call.m_route->m_name.value());
  terms.m_objective_left = call.m_objective - now;
  terms.m_bytes = static_cast<double>(call.m_body.size()) + kHeadBytes +
                  ExpectedResponseSize(m_context.m_response_sizes,
                                       call.m_route->m_name.value());
  terms.m_cost_per_kib = kCrossingCostPerKib;
  if (call.m_nested) {
    terms.m_latency_weight +=
        std::max(0.0, m_dispatcher.failure_rate() - kExpectedFailureRate) *
        kFailureRateWeight;
  }
  return ChooseTargetPeer(peers->second, call.m_tried_nodes, terms,
                          m_context.Random(), now);
}

// A request that is still running when this process stops would lose its
// response. While it hasn't been passed on, another node can take it.
std::optional<Refusal> RequestRouter::CheckTimeUntilStop(
    const RoutedCall& call) const {
  if (!m_context.m_stops_at) {
    return std::nullopt;
  }
  const Millis time_left = *m_context.m_stops_at - SteadyNow();
  Millis expected = ExpectedServiceTime(m_context.m_response_times,
                                        call.m_route->m_name.value());
  if (expected == Millis(0)) {
    expected = call.m_objective - call.m_arrival;
  }
  if (expected * kStopTimeFactor <= time_left) {
    return std::nullopt;
  }
  return MakeSignalRefusal(
      Reason::kNodeLeaving,
      {"stops_in_ms", time_left.value(), expected.value()});
}

std::optional<Refusal> RequestRouter::RunAttempts(RoutedCall& call,
                                                  HttpExchange& exchange) {
  m_await_members(call.m_service);
  std::optional<Refusal> last_refusal;
  std::size_t reroutes = 0;
  while (!call.m_has_caller_left && exchange.IsClientConnected()) {
    const Millis time_left = call.m_deadline - SteadyNow();
    if (time_left <= Millis(0)) {
      if (!last_refusal) {
        last_refusal = MakeSignalRefusal(Reason::kDeadlineUnreachable,
                                         {"ms_left", time_left.value(), 0});
      }
      break;
    }
    if (auto refusal = CheckTimeUntilStop(call)) {
      if (!last_refusal) {
        last_refusal = std::move(refusal);
      }
      break;
    }
    const auto node = ChooseTarget(call);
    if (!node) {
      if (!last_refusal) {
        last_refusal = MakeSignalRefusal(Reason::kNoTarget, {"targets", 0, 1});
        last_refusal->m_retry_after = kRetryWithoutTarget;
      }
      break;
    }
    const Millis sent_at = SteadyNow();
    AttemptResult result = TryTarget(call, *node);
    RecordAttempt(call, *node, result, sent_at);
    if (result.m_response) {
      call.m_has_failed_under_load =
          result.m_response->m_status >= kServerError;
      LogResponse(call, *node, result);
      RelayResponse(call, *result.m_response, exchange);
      return std::nullopt;
    }
    last_refusal = std::move(result.m_refusal);
    call.m_tried_nodes.push_back(*node);
    const bool not_run = last_refusal->m_execution == Execution::kNotRun;
    call.m_may_have_run = call.m_may_have_run || !not_run;
    const bool reached_target =
        !not_run || last_refusal->m_reason == Reason::kTargetRefused;
    call.m_attempts += reached_target ? 1 : 0;
    if (reached_target ? !TryReserveRetry(call, *last_refusal)
                       : ++reroutes > MaxReroutes(*last_refusal) ||
                             !IsWorthAnotherTarget(*last_refusal)) {
      break;
    }
    ++(reached_target ? m_context.m_metrics.m_repeats
                      : m_context.m_metrics.m_reroutes);
    LogLine(LogLevel::kInfo,
            reached_target ? "request_repeated" : "request_rerouted")
        .With("request_id", call.m_metadata.m_id.value())
        .With("refused_by", node->value())
        .With("reason", ToText(last_refusal->m_reason));
  }
  call.m_has_failed_under_load =
      last_refusal && IsLackOfCapacity(last_refusal->m_reason);
  if (last_refusal && call.m_may_have_run) {
    last_refusal->m_execution = Execution::kUnknown;
    if (last_refusal->m_reason != Reason::kDeadlinePassed) {
      last_refusal->m_reason = Reason::kTargetLost;
    }
  }
  return last_refusal;
}

// Successful responses within the objective are logged at debug level only.
void RequestRouter::LogResponse(const RoutedCall& call,
                                const NodeId& node,
                                const AttemptResult& result) const {
  const Millis now = SteadyNow();
  const bool is_notable =
      result.m_response->m_status >= kServerError || now > call.m_objective;
  const LoadReport& load = result.m_response->m_load;
  LogLine(is_notable ? LogLevel::kInfo : LogLevel::kDebug, "request_answered")
      .With("request_id", call.m_metadata.m_id.value())
      .With("route", call.m_route->m_name.value())
      .With("target_node", node.value())
      .With("status", result.m_response->m_status)
      .With("attempts", static_cast<std::uint64_t>(call.m_attempts + 1))
      .With("nested", call.m_nested ? "yes" : "no")
      .With("held_ms", (now - call.m_arrival).value())
      .With("objective_ms", (call.m_objective - call.m_arrival).value())
      .With("deadline_ms", (call.m_deadline - call.m_arrival).value())
      .With("target_running", load.m_in_flight)
      .With("target_waiting", load.m_queued)
      .With("document", call.m_route_table->m_document.m_version.value());
}

// A request that reached a target may be sent to another one only if it is
// idempotent or the first target reported that it did not run it. Charges the
// retry window when it returns true.
bool RequestRouter::TryReserveRetry(RoutedCall& call, const Refusal& refusal) {
  if (std::exchange(call.m_is_retry_reserved, false)) {
    return true;
  }
  const bool idempotent = call.m_route->m_kind == WorkKind::kSafe;
  const bool not_run = refusal.m_execution == Execution::kNotRun;
  const Millis now = SteadyNow();
  const bool allowed =
      (idempotent || not_run) && refusal.m_reason != Reason::kDeadlinePassed &&
      call.m_attempts < call.m_route->m_max_attempts && now < call.m_deadline;
  if (!allowed) {
    return false;
  }
  if (!TryChargeRetry(m_context.m_retry_windows[call.m_service],
                      MakeRetryAllowance(call.m_service), call.m_rank, now)) {
    ++m_context.m_metrics.m_repeats_denied;
    return false;
  }
  return true;
}

// While an attempt at `node` is in progress: reserves a retry at another
// target.
bool RequestRouter::TryReserveRetryElsewhere(RoutedCall& call,
                                             const NodeId& node) {
  call.m_tried_nodes.push_back(node);
  const bool has_other_target = ChooseTarget(call).has_value();
  call.m_tried_nodes.pop_back();
  if (!has_other_target) {
    return false;
  }
  ++call.m_attempts;
  call.m_is_retry_reserved = TryReserveRetry(
      call, MakeUnknownOutcome(Reason::kNodeLost, {"silent", 1, 0}));
  --call.m_attempts;
  return call.m_is_retry_reserved;
}

// A node that is silent may only be stalled, with its target at work. Giving
// the attempt up is of use only if the request can be sent to another target.
std::optional<ResponseStart> RequestRouter::AwaitResponse(RoutedCall& call,
                                                          const NodeId& node) {
  const OutboundCall& outbound = *call.m_outbound;
  const CallState& state = *outbound.m_state;
  const Millis until = call.m_deadline + kResponseGrace;
  if (call.m_route->m_kind != WorkKind::kSafe) {
    return outbound.AwaitResponse(until);
  }
  auto response = outbound.AwaitResponseOrSilence(until);
  const bool is_only_silent = !response && state.m_is_peer_silent &&
                              !state.m_is_target_lost && !state.m_cancelled;
  if (!is_only_silent || TryReserveRetryElsewhere(call, node)) {
    return response;
  }
  return outbound.AwaitResponse(until);
}

CallStart RequestRouter::MakeCallStart(const RoutedCall& call) const {
  const Millis now = SteadyNow();
  CallStart start;
  CallMetadata& metadata = start.m_metadata;
  metadata.m_root = call.m_metadata.m_id;
  metadata.m_caller =
      CallerName(m_context.m_settings.m_target.m_service.value());
  metadata.m_class = call.m_rank;
  metadata.m_idempotent = call.m_route->m_kind == WorkKind::kSafe;
  metadata.m_depth = call.m_nested ? 1 : 0;
  metadata.m_is_retry = call.m_is_retry_inherited || call.m_attempts > 0;
  metadata.m_route = call.m_route->m_name.value();
  metadata.m_fingerprint = call.m_fingerprint;
  metadata.m_returning = call.m_returning;
  // Whole milliseconds are encoded in fewer bytes between nodes.
  metadata.m_time_left = Floor(call.m_deadline - now);
  metadata.m_objective_left = Floor(call.m_objective - now);
  start.m_request = call.m_head;
  start.m_body.m_data = call.m_body.substr(0, kFirstBodyBytes);
  start.m_complete = call.m_body.size() <= kFirstBodyBytes;
  return start;
}

Result<OutboundCall> RequestRouter::OpenCall(RoutedCall& call,
                                             const NodeId& node) {
  CallStart start = MakeCallStart(call);
  if (node == m_context.m_settings.m_node) {
    LocalCall local = MakeLocalCall(std::move(start));
    m_dispatcher.Accept(std::move(local.m_inbound));
    return std::move(local.m_outbound);
  }
  TargetPeer& peer = m_context.m_targets_by_service[call.m_service][node];
  m_context.m_metrics.m_domain_crossings += peer.m_same_domain ? 0 : 1;
  const Result<LinkId> link = m_context.m_links->EnsureLink(
      peer.m_peer, Min(SteadyNow() + kLinkTimeout, call.m_deadline));
  if (!link) {
    return Result<OutboundCall>::Failure(link.reason());
  }
  // The caller may have disconnected while the link was being opened.
  if (call.m_has_caller_left) {
    return Result<OutboundCall>::Failure("the caller has left");
  }
  return m_context.m_links->StartCall(*link, std::move(start));
}

RequestRouter::AttemptResult RequestRouter::TryTarget(RoutedCall& call,
                                                      const NodeId& node) {
  TargetPeer& peer = m_context.m_targets_by_service[call.m_service][node];
  ++peer.m_outstanding;
  ++peer.m_sent_since_report;
  AttemptResult result;
  auto opened = OpenCall(call, node);
  if (!opened) {
    result.m_refusal =
        MakeSignalRefusal(Reason::kNodeLost, {opened.reason(), 1, 0});
    result.m_refusal->m_retry_after = kRetryWithoutTarget;
    return result;
  }
  call.m_outbound = std::move(*opened);
  OutboundCall& outbound = *call.m_outbound;
  outbound.m_state->m_request_credit.SetDeadline(call.m_deadline);
  if (call.m_body.size() > kFirstBodyBytes) {
    for (std::size_t offset = kFirstBodyBytes; offset < call.m_body.size();
         offset += kMaxChunkBytes) {
      const bool is_last = offset + kMaxChunkBytes >= call.m_body.size();
      if (!outbound.m_sender->SendBody(
              call.m_body.substr(offset, kMaxChunkBytes), is_last)) {
        break;
      }
    }
  }
  result.m_response = AwaitResponse(call, node);
  if (result.m_response && result.m_response->m_refusal) {
    result.m_refusal = std::move(result.m_response->m_refusal);
    if (call.m_nested) {
      RecordNestedCongestion(m_context, result.m_response->m_load.m_congestion,
                             SteadyNow());
    }
    const auto service = m_context.m_targets_by_service.find(call.m_service);
    if (service != m_context.m_targets_by_service.end() &&
        service->second.count(node) != 0) {
      RecordTargetLoad(service->second[node], result.m_response->m_load,
                       SteadyNow());
    }
    result.m_response.reset();
  } else if (!result.m_response) {
    const bool is_link_lost = outbound.m_state->m_is_target_lost;
    const bool is_lost = is_link_lost || call.m_is_retry_reserved;
    if (!is_link_lost) {
      outbound.m_sender->Cancel(is_lost ? "silent" : "deadline");
    }
    result.m_refusal = MakeUnknownOutcome(
        is_lost ? Reason::kNodeLost : Reason::kDeadlinePassed,
        {is_link_lost ? "link_lost"
         : is_lost    ? "silent"
                      : "ms_left",
         (call.m_deadline - SteadyNow()).value(), 0});
  }
  return result;
}

void RequestRouter::RecordAttempt(const RoutedCall& call,
                                  const NodeId& node,
                                  const AttemptResult& result,
                                  Millis sent_at) {
  const auto service = m_context.m_targets_by_service.find(call.m_service);
  if (service == m_context.m_targets_by_service.end() ||
      service->second.count(node) == 0) {
    return;
  }
  TargetPeer& peer = service->second[node];
  const Millis now = SteadyNow();
  const std::string& route = call.m_route->m_name.value();
  const Millis typical = ExpectedServiceTime(m_context.m_response_times, route);
  peer.m_outstanding -= peer.m_outstanding > 0 ? 1 : 0;
  if (result.m_response) {
    RecordTargetLoad(peer, result.m_response->m_load, now);
    if (call.m_nested) {
      RecordNestedCongestion(m_context, result.m_response->m_load.m_congestion,
                             now);
    }
    const bool failed = result.m_response->m_status >= kServerError;
    RecordTargetOutcome(peer, now - sent_at, typical, failed);
    if (!failed) {
      RecordServiceTime(m_context.m_response_times, route, now - sent_at);
    }
    return;
  }
  switch (result.m_refusal->m_reason) {
    case Reason::kNodeLost:
      peer.m_avoid_until = now + kAvoidUnreachable;
      RecordTargetOutcome(peer, now - sent_at, typical, true);
      break;
    case Reason::kTargetUnreachable:
    case Reason::kNoTarget:
    case Reason::kTargetLeaving:
    case Reason::kNodeLeaving:
      peer.m_avoid_until = now + kAvoidLeaving;
      break;
    case Reason::kTargetLost:
      RecordTargetOutcome(peer, now - sent_at, typical, true);
      break;
    case Reason::kDeadlinePassed:
      // A call that had less time than it usually takes says nothing about the
      // target.
      if (!call.m_has_caller_left &&
          now - sent_at > typical * kSlowFailureFactor) {
        RecordTargetOutcome(peer, now - sent_at, typical, true);
      }
      break;
    default:
      break;
  }
}

}  // namespace hemlockpoint
