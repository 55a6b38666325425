// Tracks the target and admits calls to its slots.

#include "hemlockpoint/relay/slot_dispatcher.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/relay/dispatch_session.h"

namespace hemlockpoint {

namespace {

// Time after the deadline until the connection of an idempotent call is closed.
// The target stops the work at the deadline too and can still report that.
constexpr Millis kIdempotentGrace(60);
// The same for a non-idempotent call. Its outcome matters, so the target gets
// time to report it; the limit covers a target that never does.
constexpr Millis kNonIdempotentGrace(5000);
// The same once the response has begun: its end is delivered late, but a body
// without end is cut off.
constexpr Millis kResponseGrace(1000);
// The average follows a change within about 10 calls of Tick().
constexpr double kLoopDelayGain = 0.1;
constexpr Millis kRetryWhileUnknown(300);
constexpr Millis kRetryWithoutMemory(300);
// Lower bound of the service time that delays of this process are compared
// with.
constexpr Millis kMinServiceTime(10);

Refusal MakeRefusal(Reason reason, Signal signal, Millis retry_after) {
  Refusal refusal = MakeSignalRefusal(reason, std::move(signal));
  refusal.m_retry_after = retry_after;
  return refusal;
}

Millis OverdueGrace(const DispatchSession& session) {
  if (session.m_is_response_started) {
    return kResponseGrace;
  }
  return session.metadata().m_idempotent ? kIdempotentGrace
                                         : kNonIdempotentGrace;
}

}  // namespace

SlotDispatcher::SlotDispatcher(RelayContext& context)
    : m_context(context), m_crash_detector(context) {}

SlotDispatcher::~SlotDispatcher() = default;

bool SlotDispatcher::HandleTargetReport(const TargetReport& report) {
  if (IsStartInFuture(report, UnixMillis())) {
    LogLine(LogLevel::kWarning, "report_implausible")
        .With("instance", report.m_instance)
        .With("born", report.m_started_unix_ms);
    return true;
  }
  const TargetSettings& place = m_context.m_settings.m_target;
  // An entry of another writer must not replace the target's own report.
  const bool is_of_target = report.m_service == place.m_service &&
                            report.m_endpoint == place.m_endpoint;
  const bool needs_confirmation =
      is_of_target && !m_has_known_target && !report.m_draining;
  if (needs_confirmation) {
    m_unconfirmed_report = report;
    ConfirmReport();
    return true;
  }
  return UseTargetReport(report) != ReportEffect::kUnresolved;
}

ReportEffect SlotDispatcher::UseTargetReport(const TargetReport& report) {
  const Settings& settings = m_context.m_settings;
  const ReportEffect effect =
      ApplyReport(m_known_target, report, settings.m_target.m_service,
                  settings.m_target.m_endpoint, SteadyNow());
  if (effect == ReportEffect::kUnresolved) {
    LogLine(LogLevel::kWarning, "report_unresolved")
        .With("instance", report.m_instance)
        .With("born", report.m_started_unix_ms)
        .With("current_born", m_known_target.m_current->m_started_unix_ms);
    return effect;
  }
  if (effect == ReportEffect::kIgnored || effect == ReportEffect::kUpdated) {
    return effect;
  }
  m_has_known_target = true;
  LogLine(LogLevel::kInfo,
          effect == ReportEffect::kLeaving ? "target_leaving" : "target_known")
      .With("instance", report.m_instance)
      .With("born", report.m_started_unix_ms)
      .With("sequence", report.m_sequence)
      .With("slots", report.m_slots);
  if (effect == ReportEffect::kNewIncarnation) {
    const ServiceConfig* service =
        m_context.m_route_table
            ? FindService(m_context.m_route_table->m_document, report.m_service)
            : nullptr;
    const std::size_t connections =
        service != nullptr && service->m_max_connections > 0
            ? service->m_max_connections
            : settings.m_limits.m_connections;
    m_pool = std::make_shared<HttpClientPool>(
        m_context.m_loop.io(), settings.m_target.m_endpoint, connections);
    m_unreachable_until = Millis(-1e12);
  }
  m_queue.m_slots = report.m_slots;
  if (m_known_target.m_leaving) {
    DropWaiting(std::exchange(m_queue.m_waiting, {}), Reason::kTargetLeaving);
  }
  if (m_change_handler) {
    m_change_handler();
  }
  GrantFreeSlots();
  return effect;
}

bool SlotDispatcher::HandleTargetWithdrawal(
    const TargetWithdrawal& withdrawal) {
  const WithdrawalEffect effect = ApplyWithdrawal(m_known_target, withdrawal);
  if (effect == WithdrawalEffect::kUnresolved) {
    LogLine(LogLevel::kWarning, "withdrawal_unresolved")
        .With("instance", withdrawal.m_instance)
        .With("born", withdrawal.m_started_unix_ms)
        .With("current_born", m_known_target.m_current->m_started_unix_ms);
    return false;
  }
  if (effect == WithdrawalEffect::kRemembered) {
    return true;
  }
  LogLine(LogLevel::kInfo, "target_leaving")
      .With("instance", withdrawal.m_instance)
      .With("born", withdrawal.m_started_unix_ms);
  DropWaiting(std::exchange(m_queue.m_waiting, {}), Reason::kTargetLeaving);
  if (m_change_handler) {
    m_change_handler();
  }
  return true;
}

void SlotDispatcher::ForgetTarget(const char* reason) {
  if (!m_known_target.m_current) {
    return;
  }
  LogLine(LogLevel::kWarning, "target_forgotten")
      .With("instance", m_known_target.m_current->m_instance)
      .With("reason", reason);
  m_known_target.m_current.reset();
  m_known_target.m_leaving = false;
  DropWaiting(std::exchange(m_queue.m_waiting, {}), Reason::kTargetUnreachable);
  if (m_change_handler) {
    m_change_handler();
  }
}

void SlotDispatcher::BeginLeaving() {
  DropWaiting(std::exchange(m_queue.m_waiting, {}), Reason::kNodeLeaving);
}

const CallMetadata* SlotDispatcher::FindRunning(
    const RequestId& request) const {
  const auto found = m_sessions_by_request.find(request);
  return found == m_sessions_by_request.end() ? nullptr
                                              : &found->second->metadata();
}

void SlotDispatcher::RecordNestedFailure(const RequestId& parent) {
  const auto found = m_sessions_by_request.find(parent);
  if (found != m_sessions_by_request.end()) {
    found->second->m_has_failed_nested_call = true;
  }
}

TargetSummary SlotDispatcher::Summary() const {
  TargetSummary summary;
  if (m_known_target.m_current) {
    summary.m_service = m_known_target.m_current->m_service;
    summary.m_slots = m_known_target.m_current->m_slots;
    summary.m_leaving = m_known_target.m_leaving || m_context.m_leaving;
  }
  return summary;
}

LoadReport SlotDispatcher::MakeLoadReport() const {
  LoadReport load;
  load.m_in_flight = m_queue.m_running;
  load.m_queued = m_queue.m_waiting.size();
  load.m_limit = static_cast<double>(m_queue.m_slots);
  load.m_service_time = Floor(m_queue.m_service_times.m_mean);
  load.m_leaving = m_known_target.m_leaving || m_context.m_leaving;
  // A process short of processor time delays calls as a full queue does.
  const Millis service_time =
      Max(m_queue.m_service_times.m_mean, kMinServiceTime);
  // Rounds to sixteenths, which are precise enough and encoded in fewer bytes.
  constexpr double kSteps = 16;
  load.m_congestion =
      std::round(std::max({m_queue.m_congestion, m_loop_delay / service_time,
                           NestedCongestion(m_context, SteadyNow())}) *
                 kSteps) /
      kSteps;
  return load;
}

// Returns why the call may not be dispatched to the target now, or nothing.
std::optional<Refusal> SlotDispatcher::CheckAdmission(
    const DispatchSession& session) const {
  const CallStart& start = session.m_call.m_start;
  const Millis now = SteadyNow();
  // Also true for a call that waited while this process was paused.
  if (session.m_deadline <= now) {
    return MakeRefusal(Reason::kDeadlineUnreachable,
                       {"ms_left", (session.m_deadline - now).value(), 0},
                       Millis(0));
  }
  if (m_context.m_leaving) {
    return MakeRefusal(Reason::kNodeLeaving, {"leaving", 1, 0}, Millis(0));
  }
  if (!m_known_target.m_current ||
      m_known_target.m_current->m_service != start.m_request.m_service) {
    return MakeRefusal(Reason::kNoTarget, {"targets", 0, 1},
                       kRetryWhileUnknown);
  }
  if (m_known_target.m_leaving) {
    return MakeRefusal(Reason::kTargetLeaving, {"leaving", 1, 0}, Millis(0));
  }
  if (IsQuarantined(m_context.m_crash_counts, start.m_metadata.m_fingerprint,
                    now)) {
    return MakeRefusal(Reason::kQuarantined,
                       {"target_crashes", kCrashesUntilQuarantine, 0},
                       kQuarantineRetryAfter);
  }
  if (now < m_unreachable_until) {
    return MakeRefusal(Reason::kTargetUnreachable,
                       {"down_for_ms", (m_unreachable_until - now).value(), 0},
                       kRetryWhileUnknown);
  }
  return std::nullopt;
}

// Reserves memory for the whole body before any credit for it is granted. The
// entry states the length, because it has the whole body.
std::optional<Refusal> SlotDispatcher::ReserveBodyMemory(
    DispatchSession& session) {
  const CallStart& start = session.m_call.m_start;
  const std::size_t limit = m_context.m_settings.m_max_body_memory_bytes;
  const std::uint64_t length = start.m_request.m_content_length.value_or(0);
  const std::size_t reserved = m_context.m_target_body_bytes;
  if (length > limit || reserved > limit - length) {
    return MakeRefusal(Reason::kNodeOverloaded,
                       {"body_bytes", static_cast<double>(reserved + length),
                        static_cast<double>(limit)},
                       kRetryWithoutMemory);
  }
  session.m_reserved_bytes = static_cast<std::size_t>(length);
  m_context.m_target_body_bytes += session.m_reserved_bytes;
  return std::nullopt;
}

bool SlotDispatcher::ReceiveBody(DispatchSession& session) {
  CallState& state = *session.m_call.m_state;
  if (!session.m_call.m_start.m_complete) {
    session.m_call.m_sender->GrantInitialCredit();
  }
  while (true) {
    auto bytes = state.m_request_body.Pop();
    if (!bytes) {
      return false;
    }
    if (bytes->empty()) {
      return true;
    }
    session.m_body += *bytes;
  }
}

void SlotDispatcher::Accept(InboundCall call) {
  if (!m_context.m_loop.HasStackFor(FiberWork::kCall)) {
    DispatchSession session;
    session.m_call = std::move(call);
    Refuse(session,
           MakeRefusal(
               Reason::kNodeOverloaded,
               {"fibers", static_cast<double>(m_context.m_loop.fibers()),
                static_cast<double>(m_context.m_loop.max_fibers().value_or(0))},
               kRetryWithoutMemory));
    return;
  }
  m_context.m_loop.Spawn(
      [this, shared = std::make_shared<InboundCall>(std::move(call))] {
        Serve(std::move(*shared));
      });
}

void SlotDispatcher::Serve(InboundCall call) {
  auto session = std::make_shared<DispatchSession>();
  const Millis now = SteadyNow();
  session->m_id = CallId(++m_last_call);
  session->m_call = std::move(call);
  session->m_arrival = now;
  session->m_deadline = now + session->metadata().m_time_left;
  if (auto refusal = CheckAdmission(*session)) {
    Refuse(*session, *refusal);
    return;
  }
  if (auto refusal = ReserveBodyMemory(*session)) {
    Refuse(*session, *refusal);
    return;
  }
  if (ReceiveBody(*session)) {
    QueueAndDispatch(session);
  }
  m_context.m_target_body_bytes -= session->m_reserved_bytes;
}

void SlotDispatcher::QueueAndDispatch(
    const std::shared_ptr<DispatchSession>& session) {
  const Millis now = session->m_arrival;
  SlotCall& waiting = session->m_queue_entry;
  waiting.m_nested = session->metadata().m_depth > 0;
  waiting.m_returning = session->metadata().m_returning;
  waiting.m_call = session->m_id;
  waiting.m_route = session->metadata().m_route;
  waiting.m_rank = session->metadata().m_class;
  waiting.m_arrival = now;
  waiting.m_deadline = session->m_deadline;
  waiting.m_objective = now + session->metadata().m_objective_left;
  const OfferResult offer = OfferCall(m_queue, waiting, now);
  if (!offer.m_accepted) {
    Refuse(*session, offer.m_refusal);
    return;
  }
  m_sessions[session->m_id] = session;
  m_sessions_by_request[session->metadata().m_root] = session.get();
  session->m_call.m_state->m_on_cancel = [this, raw = session.get()] {
    if (raw->m_phase == DispatchSession::Phase::kWaiting) {
      RemoveWaitingCall(m_queue, raw->m_id);
      raw->m_phase = DispatchSession::Phase::kDropped;
    } else if (raw->metadata().m_idempotent && raw->m_http) {
      raw->m_http->Cancel();
    }
    raw->m_changed.Notify();
  };
  if (session->is_cancelled()) {
    session->m_call.m_state->m_on_cancel();
  }
  GrantFreeSlots();
  session->m_changed.Wait(
      [&] { return session->m_phase != DispatchSession::Phase::kWaiting; });
  if (session->m_phase == DispatchSession::Phase::kRunning) {
    Record(m_context.m_metrics.m_wait_time, SteadyNow() - session->m_arrival);
    Dispatch(*session);
    GrantFreeSlots();
  } else if (session->m_queue_refusal && !session->is_cancelled()) {
    Refuse(*session, *session->m_queue_refusal);
  }
  session->m_call.m_state->m_on_cancel = nullptr;
  const auto by_request =
      m_sessions_by_request.find(session->metadata().m_root);
  if (by_request != m_sessions_by_request.end() &&
      by_request->second == session.get()) {
    m_sessions_by_request.erase(by_request);
  }
  m_sessions.erase(session->m_id);
}

void SlotDispatcher::GrantFreeSlots() {
  const Millis now = SteadyNow();
  while (const auto next = TakeNextCall(m_queue, now)) {
    const auto session = m_sessions.find(next->m_call);
    if (session == m_sessions.end()) {
      ReleaseSlot(m_queue, *next, {}, now);
      continue;
    }
    session->second->m_phase = DispatchSession::Phase::kRunning;
    session->second->m_changed.Notify();
  }
}

void SlotDispatcher::DropWaiting(const std::vector<SlotCall>& calls,
                                 Reason reason) {
  const Millis now = SteadyNow();
  for (const SlotCall& call : calls) {
    const auto session = m_sessions.find(call.m_call);
    if (session == m_sessions.end()) {
      continue;
    }
    const Millis wait = ExpectedWait(m_queue, call);
    session->second->m_queue_refusal = MakeRefusal(
        reason, {"waited_ms", (now - call.m_arrival).value(), 0}, wait);
    session->second->m_phase = DispatchSession::Phase::kDropped;
    session->second->m_changed.Notify();
  }
}

void SlotDispatcher::Tick() {
  const Millis now = SteadyNow();
  if (m_last_tick != Millis(0)) {
    const Millis delay = Max(now - m_last_tick - kTickPeriod, Millis(0));
    m_loop_delay += (delay - m_loop_delay) * kLoopDelayGain;
  }
  m_last_tick = now;
  if (now - m_last_congestion_check >= kCongestionCheckPeriod) {
    m_last_congestion_check = now;
    const double level = NestedCongestion(m_context, now);
    for (auto& [rank, limit] : m_queue.m_limits) {
      LowerLimitOnCongestion(limit, rank, level,
                             static_cast<double>(m_queue.m_slots));
    }
  }
  DropWaiting(TakeUnreachableCalls(m_queue, now), Reason::kDeadlineUnreachable);
  for (const auto& [id, session] : m_sessions) {
    const Millis limit = session->m_deadline + OverdueGrace(*session);
    if (session->m_http && !session->m_is_closed_as_overdue && now > limit) {
      session->m_is_closed_as_overdue = true;
      session->m_http->Cancel();
    }
  }
  GrantFreeSlots();
}

void SlotDispatcher::Refuse(DispatchSession& session, Refusal refusal) {
  refusal.m_node = m_context.m_settings.m_node;
  ++m_context.m_metrics.m_refusals[static_cast<std::size_t>(refusal.m_reason)];
  ResponseStart response;
  response.m_refusal = std::move(refusal);
  response.m_load = MakeLoadReport();
  session.m_call.m_sender->SendResponse(std::move(response));
}

}  // namespace hemlockpoint
