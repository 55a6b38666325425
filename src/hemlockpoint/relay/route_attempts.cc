// Which target a request is sent to, and whether to another.

#include <algorithm>
#include <utility>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/relay/request_router.h"

namespace hemlockpoint {

namespace {

constexpr Millis kLinkTimeout(500);
// Time after the deadline in which the target's node can still say how the
// call has ended.
constexpr Millis kResponseGrace(120);
// Nodes that may refuse a request, one after the other, before any target
// has it; each costs a round trip.
constexpr std::size_t kMaxReroutes = 4;
// Bytes of a body that go with the start of a call.
constexpr std::size_t kFirstBodyBytes = std::size_t{512} * 1024;
// Time for which a node that can't be reached is passed over.
constexpr Millis kAvoidUnreachable(1000);
constexpr Millis kAvoidLeaving(500);
constexpr Millis kRetryWithoutTarget(500);
// Share of a request's worth that a KiB to another failure domain costs, and
// what the heads of a call and its answer take between nodes.
constexpr double kCrossingCostPerKib = 0.02;
constexpr double kHeadBytes = 512;
// Share of failed runs that is the work's own, and what a greater share adds
// to the worth of time: all of it when half of the runs fail.
constexpr double kExpectedFailureRate = 0.03;
constexpr double kFailureRateWeight = 2;
// A call that ran out of time after this many times its usual time is held
// against its target.
constexpr double kSlowFailureFactor = 2;
// Part of the repeats allowed to all nodes that a node spends by itself; the
// rest is for windows that lie unevenly on several nodes.
constexpr double kOwnRetryRatioShare = 0.85;
constexpr double kOwnRetrySlackShare = 0.3;

}  // namespace

RetryAllowance RequestRouter::MakeRetryAllowance(const ServiceName&) const {
  const RepeatBounds& bounds = m_context.m_settings.m_repeats;
  RetryAllowance share;
  share.m_window = bounds.m_window;
  share.m_ratio = bounds.m_ratio * kOwnRetryRatioShare;
  const auto nodes = static_cast<double>(m_context.m_members.size() + 1);
  share.m_slack = bounds.m_slack * kOwnRetrySlackShare / nodes;
  return share;
}

std::optional<NodeId> RequestRouter::NextTarget(const EntryCall& call) {
  const auto peers = m_context.m_services.find(call.m_service);
  if (peers == m_context.m_services.end()) {
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
  return ChooseTargetPeer(peers->second, call.m_tried, terms,
                          m_context.Random(), now);
}

std::optional<Refusal> RequestRouter::Send(EntryCall& call,
                                           HttpExchange& exchange) {
  m_want_service(call.m_service);
  std::optional<Refusal> last;
  std::size_t reroutes = 0;
  while (!call.m_caller_gone) {
    const auto node = NextTarget(call);
    if (!node) {
      if (!last) {
        last = MakeSignalRefusal(Reason::kNoTarget, {"targets", 0, 1});
        last->m_retry_after = kRetryWithoutTarget;
      }
      break;
    }
    const Millis sent = SteadyNow();
    AttemptEnd end = TryTarget(call, *node);
    RecordEnd(call, *node, end, sent);
    if (end.m_answer) {
      LogResponse(call, *node, end);
      RelayAnswer(call, *end.m_answer, exchange);
      return std::nullopt;
    }
    last = std::move(end.m_refusal);
    call.m_tried.push_back(*node);
    const bool not_run = last->m_execution == Execution::kNotRun;
    call.m_any_unknown = call.m_any_unknown || !not_run;
    const bool arrived = !not_run || last->m_reason == Reason::kTargetRefused;
    call.m_attempts += arrived ? 1 : 0;
    if (arrived ? !TryReserveRetry(call, *last)
                : ++reroutes > kMaxReroutes || !IsWorthAnotherTarget(*last)) {
      break;
    }
    ++(arrived ? m_context.m_metrics.m_repeats
               : m_context.m_metrics.m_reroutes);
    LogLine(LogLevel::kInfo, arrived ? "request_repeated" : "request_rerouted")
        .With("request_id", call.m_terms.m_id.value())
        .With("refused_by", node->value())
        .With("reason", ToText(last->m_reason));
  }
  if (last && call.m_any_unknown) {
    last->m_execution = Execution::kUnknown;
    if (last->m_reason != Reason::kDeadlinePassed) {
      last->m_reason = Reason::kTargetLost;
    }
  }
  return last;
}

// Answers in time are the rule, and told at the debug level only.
void RequestRouter::LogResponse(const EntryCall& call,
                                const NodeId& node,
                                const AttemptEnd& end) const {
  constexpr std::uint64_t kServerError = 500;
  const Millis now = SteadyNow();
  const bool remarkable =
      end.m_answer->m_status >= kServerError || now > call.m_objective;
  const LoadReport& load = end.m_answer->m_load;
  LogLine(remarkable ? LogLevel::kInfo : LogLevel::kDebug, "request_answered")
      .With("request_id", call.m_terms.m_id.value())
      .With("route", call.m_route->m_name.value())
      .With("target_node", node.value())
      .With("status", end.m_answer->m_status)
      .With("attempts", static_cast<std::uint64_t>(call.m_attempts + 1))
      .With("nested", call.m_nested ? "yes" : "no")
      .With("held_ms", (now - call.m_arrival).value())
      .With("objective_ms", (call.m_objective - call.m_arrival).value())
      .With("deadline_ms", (call.m_deadline - call.m_arrival).value())
      .With("target_running", load.m_in_flight)
      .With("target_waiting", load.m_queued)
      .With("document", call.m_table->m_document.m_version.value());
}

// A request that reached a target goes to another one only if it may run
// twice, or the first has said that it hasn't run it.
bool RequestRouter::TryReserveRetry(EntryCall& call, const Refusal& refusal) {
  const bool idempotent = call.m_route->m_kind == WorkKind::kSafe;
  const bool not_run = refusal.m_execution == Execution::kNotRun;
  const Millis now = SteadyNow();
  const bool allowed =
      (idempotent || not_run) && refusal.m_reason != Reason::kDeadlinePassed &&
      call.m_attempts < call.m_route->m_max_attempts && now < call.m_deadline;
  if (!allowed) {
    return false;
  }
  if (!TryChargeRetry(m_context.m_repeats[call.m_service],
                      MakeRetryAllowance(call.m_service), call.m_rank, now)) {
    ++m_context.m_metrics.m_repeats_denied;
    return false;
  }
  return true;
}

CallStart RequestRouter::MakeStart(const EntryCall& call) const {
  const Millis now = SteadyNow();
  CallStart start;
  CallTerms& terms = start.m_terms;
  terms.m_root = call.m_terms.m_id;
  terms.m_caller = CallerName(m_context.m_settings.m_target.m_service.value());
  terms.m_class = call.m_rank;
  terms.m_idempotent = call.m_route->m_kind == WorkKind::kSafe;
  terms.m_depth = call.m_nested ? 1 : 0;
  terms.m_repeat = call.m_is_retry_inherited || call.m_attempts > 0;
  terms.m_route = call.m_route->m_name.value();
  terms.m_fingerprint = call.m_fingerprint;
  terms.m_returning = call.m_returning;
  // Whole milliseconds take fewer bytes between nodes.
  terms.m_time_left = Floor(call.m_deadline - now);
  terms.m_objective_left = Floor(call.m_objective - now);
  start.m_request = call.m_head;
  start.m_body.m_data = call.m_body.substr(0, kFirstBodyBytes);
  start.m_complete = call.m_body.size() <= kFirstBodyBytes;
  return start;
}

Result<OutboundCall> RequestRouter::Open(EntryCall& call, const NodeId& node) {
  CallStart start = MakeStart(call);
  if (node == m_context.m_settings.m_node) {
    LocalCall local = MakeLocalCall(std::move(start));
    m_context.m_loop.Spawn([this, inbound = std::make_shared<InboundCall>(
                                      std::move(local.m_inbound))] {
      m_dispatcher.Serve(std::move(*inbound));
    });
    return std::move(local.m_outbound);
  }
  TargetPeer& peer = m_context.m_services[call.m_service][node];
  m_context.m_metrics.m_domain_crossings += peer.m_same_domain ? 0 : 1;
  const Result<LinkId> link = m_context.m_links->LinkTo(
      peer.m_peer, Min(SteadyNow() + kLinkTimeout, call.m_deadline));
  if (!link) {
    return Result<OutboundCall>::Failure(link.reason());
  }
  // Nothing is sent for a caller that left while the link was opened.
  if (call.m_caller_gone) {
    return Result<OutboundCall>::Failure("the caller has left");
  }
  return m_context.m_links->StartCall(*link, std::move(start));
}

RequestRouter::AttemptEnd RequestRouter::TryTarget(EntryCall& call,
                                                   const NodeId& node) {
  TargetPeer& peer = m_context.m_services[call.m_service][node];
  ++peer.m_outstanding;
  ++peer.m_sent_since_report;
  AttemptEnd end;
  auto opened = Open(call, node);
  if (!opened) {
    end.m_refusal =
        MakeSignalRefusal(Reason::kNodeLost, {opened.reason(), 1, 0});
    end.m_refusal->m_retry_after = kRetryWithoutTarget;
    return end;
  }
  call.m_outbound = std::move(*opened);
  OutboundCall& outbound = *call.m_outbound;
  if (call.m_body.size() > kFirstBodyBytes) {
    for (std::size_t at = kFirstBodyBytes; at < call.m_body.size();
         at += kMaxChunkBytes) {
      const bool last = at + kMaxChunkBytes >= call.m_body.size();
      if (!outbound.m_sender->SendBody(call.m_body.substr(at, kMaxChunkBytes),
                                       last)) {
        break;
      }
    }
  }
  end.m_answer = outbound.AwaitAnswer(call.m_deadline + kResponseGrace);
  if (end.m_answer && end.m_answer->m_refusal) {
    end.m_refusal = std::move(end.m_answer->m_refusal);
    if (call.m_nested) {
      RecordNestedCongestion(m_context, end.m_answer->m_load.m_congestion,
                             SteadyNow());
    }
    const auto service = m_context.m_services.find(call.m_service);
    if (service != m_context.m_services.end() &&
        service->second.count(node) != 0) {
      RecordTargetLoad(service->second[node], end.m_answer->m_load,
                       SteadyNow());
    }
    end.m_answer.reset();
  } else if (!end.m_answer) {
    const bool lost = outbound.m_state->m_lost;
    if (!lost) {
      outbound.m_sender->Cancel("deadline");
    }
    end.m_refusal =
        MakeUnknownOutcome(lost ? Reason::kNodeLost : Reason::kDeadlinePassed,
                           {lost ? "link_lost" : "ms_left",
                            (call.m_deadline - SteadyNow()).value(), 0});
  }
  return end;
}

void RequestRouter::RecordEnd(const EntryCall& call,
                              const NodeId& node,
                              const AttemptEnd& end,
                              Millis sent) {
  const auto service = m_context.m_services.find(call.m_service);
  if (service == m_context.m_services.end() ||
      service->second.count(node) == 0) {
    return;
  }
  TargetPeer& peer = service->second[node];
  const Millis now = SteadyNow();
  const std::string& route = call.m_route->m_name.value();
  const Millis typical = ExpectedServiceTime(m_context.m_response_times, route);
  peer.m_outstanding -= peer.m_outstanding > 0 ? 1 : 0;
  if (end.m_answer) {
    constexpr std::uint64_t kServerError = 500;
    RecordTargetLoad(peer, end.m_answer->m_load, now);
    if (call.m_nested) {
      RecordNestedCongestion(m_context, end.m_answer->m_load.m_congestion, now);
    }
    const bool failed = end.m_answer->m_status >= kServerError;
    RecordTargetOutcome(peer, now - sent, typical, failed);
    if (!failed) {
      RecordServiceTime(m_context.m_response_times, route, now - sent);
    }
    return;
  }
  switch (end.m_refusal->m_reason) {
    case Reason::kNodeLost:
      peer.m_avoid_until = now + kAvoidUnreachable;
      RecordTargetOutcome(peer, now - sent, typical, true);
      break;
    case Reason::kTargetUnreachable:
    case Reason::kNoTarget:
    case Reason::kTargetLeaving:
    case Reason::kNodeLeaving:
      peer.m_avoid_until = now + kAvoidLeaving;
      break;
    case Reason::kTargetLost:
      RecordTargetOutcome(peer, now - sent, typical, true);
      break;
    case Reason::kDeadlinePassed:
      // A call that had less time than it usually takes says nothing.
      if (!call.m_caller_gone && now - sent > typical * kSlowFailureFactor) {
        RecordTargetOutcome(peer, now - sent, typical, true);
      }
      break;
    default:
      break;
  }
}

}  // namespace hemlockpoint
