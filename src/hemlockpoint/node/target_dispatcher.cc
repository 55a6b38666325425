#include "hemlockpoint/node/target_dispatcher.h"

#include <algorithm>
#include <utility>

#include "hemlockpoint/entry/caller_request.h"
#include "hemlockpoint/log/log.h"

namespace hemlockpoint {

namespace {

constexpr Millis kConnectTimeout(500);
// A target gets new calls for this long after its last announcement.
constexpr Millis kAnnouncementLease(3000);
constexpr Millis kProbeInterval(50);
constexpr int kProbeCount = 20;
constexpr Millis kNotReadyRetryAfter(100);
// A call that runs at most once may run this long past the caller's deadline.
// Its response is then stored for a resend.
constexpr Millis kKeyedDeadlineGrace(30'000);
constexpr std::size_t kMaxChildKinds = 32;

Refusal MakeNotReadyRefusal(Reason reason) {
  Refusal refusal = MakeSignalRefusal(reason, {"target_ready", 0, 1});
  refusal.m_retry_after = kNotReadyRetryAfter;
  return refusal;
}

}  // namespace

// One call at the node of its target, from its arrival to its end.
struct TargetDispatcher::Session {
  // kDropped: refused from the queue, or cancelled while it waited there.
  enum class Phase { kWaiting, kRunning, kDropped };

  CallId m_id;
  InboundCall m_call;
  Millis m_deadline;
  KindName m_kind;
  /// Id of this call as sent to the target in the field Hemlock-Call-Id.
  std::string m_target_call_id;
  Phase m_phase = Phase::kWaiting;
  /// Refusal to send if the call was refused from the queue.
  Refusal m_drop_refusal;
  std::unique_ptr<HttpClientCall> m_http;
  /// Bytes of the request may have reached the target.
  bool m_may_have_reached_target = false;
  /// The connection was closed because the deadline and any grace had passed.
  bool m_is_closed_as_overdue = false;
  bool m_has_response_started = false;
  bool m_suspect = false;
  /// The call runs at most once: it is not idempotent and has an idempotency
  /// key, which is enforced because pass-through is off.
  bool m_keyed = false;
  /// Step that ends the claim on the key.
  ClaimStep m_final_claim_step = ClaimStep::kRelease;
  /// Response to store for resends.
  std::optional<ResponseStart> m_stored_response;
};

TargetDispatcher::TargetDispatcher(NodeContext& context,
                                   KeyedCalls& keyed_calls)
    : m_context(context), m_keyed_calls(keyed_calls) {
  m_admission.m_queue_capacity = context.m_settings.m_max_queued_calls;
  m_admission.m_pass_through = context.m_settings.m_pass_through;
}

TargetDispatcher::~TargetDispatcher() = default;

void TargetDispatcher::Announce(const TargetAnnouncement& announcement) {
  const Millis now = SteadyNow();
  const bool is_new_process =
      !m_target || m_target->m_incarnation != announcement.m_incarnation ||
      !(m_target->m_endpoint == announcement.m_endpoint);
  if (is_new_process) {
    ConfirmCrash();
    m_pool = std::make_unique<HttpClientPool>(m_context.m_loop.io(),
                                              announcement.m_endpoint,
                                              announcement.m_connections);
    LogLine(LogLevel::kInfo, "target_announced")
        .With("service", announcement.m_service.value())
        .With("address", ToText(announcement.m_endpoint))
        .With("slots", announcement.m_slots);
  }
  if (m_target && announcement.m_draining && !m_target->m_draining) {
    LogLine(LogLevel::kInfo, "target_draining")
        .With("service", announcement.m_service.value());
  }
  m_is_target_down = false;
  m_target = announcement;
  m_last_announcement = now;
  SetSlots(m_admission.m_limit, static_cast<double>(announcement.m_slots),
           is_new_process, now);
  if (announcement.m_draining) {
    ApplyDrops(DropQueuedCalls(m_admission, Reason::kTargetLeaving));
  }
}

TargetSummary TargetDispatcher::Summary() const {
  TargetSummary summary;
  if (!m_target) {
    return summary;
  }
  summary.m_service = m_target->m_service;
  summary.m_slots = m_target->m_slots;
  summary.m_connections = m_target->m_connections;
  // Other nodes treat a target that is down as leaving.
  summary.m_leaving =
      m_target->m_draining || m_admission.m_leaving || m_is_target_down;
  return summary;
}

void TargetDispatcher::RecordChildKind(const KindName& parent,
                                       const KindName& child) {
  std::set<KindName>& children = m_child_kinds[parent];
  if (children.size() < kMaxChildKinds) {
    children.insert(child);
  }
}

LoadReport TargetDispatcher::MakeLoadReport(const KindName& kind) const {
  const Millis now = SteadyNow();
  LoadReport load;
  load.m_in_flight = m_admission.m_running.size();
  load.m_queued = m_admission.m_queue.m_size;
  load.m_limit = static_cast<double>(CurrentLimit(m_admission.m_limit, now));
  load.m_leaving = Summary().m_leaving;
  load.m_threshold = m_admission.m_shed.m_threshold;
  const auto children = m_child_kinds.find(kind);
  if (children != m_child_kinds.end()) {
    for (const KindName& child : children->second) {
      // The 1 is the number of targets that must have reported a valid
      // threshold. One is enough, because the calls of this service reach the
      // targets of the child through this node only.
      load.m_threshold = std::min(
          load.m_threshold,
          EntryThreshold(m_context.m_entry.m_thresholds, child, 1, now));
    }
  }
  return load;
}

std::optional<Refusal> TargetDispatcher::CheckBeforeQueue(
    const InboundCall& call) const {
  if (m_admission.m_leaving) {
    return MakeNotReadyRefusal(Reason::kNodeLeaving);
  }
  // A target that has not announced itself yet counts as leaving.
  if (!m_target || m_target->m_draining) {
    return MakeNotReadyRefusal(Reason::kTargetLeaving);
  }
  if (m_is_target_down) {
    return MakeNotReadyRefusal(Reason::kTargetUnreachable);
  }
  // A target of another service counts as unreachable.
  if (m_target->m_service != call.m_start.m_request.m_service) {
    return MakeNotReadyRefusal(Reason::kTargetUnreachable);
  }
  const Millis announcement_age = SteadyNow() - m_last_announcement;
  if (announcement_age > kAnnouncementLease) {
    Refusal refusal =
        MakeSignalRefusal(Reason::kTargetLeaving,
                          {"announcement_age_ms", announcement_age.value(),
                           kAnnouncementLease.value()});
    refusal.m_retry_after = kNotReadyRetryAfter;
    return refusal;
  }
  const auto suspicion =
      SuspectStateOf(m_context.m_entry.m_quarantine,
                     call.m_start.m_metadata.m_fingerprint, SteadyNow());
  if (suspicion == SuspectState::kQuarantined && !m_admission.m_pass_through) {
    // Value and limit are constant: a request is quarantined by two crashes.
    return MakeSignalRefusal(Reason::kQuarantined, {"target_crashes", 2, 2});
  }
  return std::nullopt;
}

void TargetDispatcher::Accept(InboundCall call) {
  if (!m_context.m_loop.HasStackFor(FiberWork::kCall)) {
    ResponseStart response;
    response.m_refusal = MakeSignalRefusal(
        Reason::kNodeOverloaded,
        {"fibers", static_cast<double>(m_context.m_loop.fibers()),
         static_cast<double>(m_context.m_loop.max_fibers().value_or(0))});
    response.m_refusal->m_node = m_context.m_settings.m_node;
    call.m_sender->SendResponse(std::move(response));
    return;
  }
  m_context.m_loop.Spawn(
      [this, shared = std::make_shared<InboundCall>(std::move(call))] {
        Serve(std::move(*shared));
      });
}

void TargetDispatcher::Serve(InboundCall call) {
  ++m_context.m_counters.m_target_calls;
  Session session;
  session.m_id = CallId(++m_last_call_number);
  session.m_call = std::move(call);
  const CallStart& start = session.m_call.m_start;
  session.m_deadline = SteadyNow() + start.m_metadata.m_time_left;
  session.m_kind = KindOf(start.m_request.m_service, start.m_request.m_method,
                          start.m_request.m_path);
  session.m_target_call_id = m_context.m_settings.m_node.value() + "-" +
                             std::to_string(m_context.m_incarnation) + "-" +
                             std::to_string(session.m_id.value());
  m_sessions[session.m_id] = &session;
  const CallMetadata& metadata = start.m_metadata;
  session.m_keyed = !metadata.m_idempotent && !metadata.m_key.empty() &&
                    !m_admission.m_pass_through;
  std::optional<ResponseStart> earlier_response;
  if (session.m_keyed) {
    earlier_response = m_keyed_calls.BeginClaim(start, session.m_deadline);
  }
  if (earlier_response) {
    earlier_response->m_load = MakeLoadReport(session.m_kind);
    session.m_call.m_sender->SendResponse(std::move(*earlier_response));
  } else {
    AdmitAndRun(session);
    if (session.m_keyed) {
      m_keyed_calls.EndClaim(start, session.m_final_claim_step,
                             session.m_stored_response);
    }
  }
  session.m_call.m_state->m_on_cancel = nullptr;
  m_sessions.erase(session.m_id);
}

void TargetDispatcher::AdmitAndRun(Session& session) {
  const auto refusal = CheckBeforeQueue(session.m_call);
  if (refusal) {
    Refuse(session, *refusal, "refused");
  } else if (AwaitDispatch(session)) {
    RunCall(session);
    FinishCall(m_admission, session.m_id);
    DispatchReadyCalls();
  } else if (!session.m_call.m_state->m_cancelled) {
    Refuse(session, session.m_drop_refusal, "refused");
  }
}

bool TargetDispatcher::AwaitDispatch(Session& session) {
  const CallMetadata& metadata = session.m_call.m_start.m_metadata;
  CallState& state = *session.m_call.m_state;
  const auto suspicion = SuspectStateOf(m_context.m_entry.m_quarantine,
                                        metadata.m_fingerprint, SteadyNow());
  session.m_suspect = metadata.m_suspect || suspicion.has_value();
  OfferedCall offered;
  offered.m_call = session.m_id;
  offered.m_root = metadata.m_root;
  offered.m_class = metadata.m_class;
  offered.m_kind = session.m_kind;
  offered.m_deadline = session.m_deadline;
  offered.m_long = metadata.m_long;
  offered.m_suspect = session.m_suspect;
  state.m_on_cancel = [this, &session] {
    if (session.m_http && !session.m_keyed) {
      session.m_http->Cancel();
    } else if (session.m_http) {
      // A call that runs at most once is not cancelled at the target, so that a
      // resend gets its response.
      return;
    } else if (CancelQueuedCall(m_admission, session.m_id)) {
      session.m_phase = Session::Phase::kDropped;
    }
  };
  if (state.m_cancelled) {
    return false;
  }
  ApplyDrops(Offer(m_admission, offered, SteadyNow()));
  DispatchReadyCalls();
  state.m_changed.Wait(
      [&] { return session.m_phase != Session::Phase::kWaiting; });
  return session.m_phase == Session::Phase::kRunning;
}

void TargetDispatcher::ApplyDrops(const std::vector<DroppedCall>& dropped) {
  for (const DroppedCall& dropped_call : dropped) {
    const auto found = m_sessions.find(dropped_call.m_call);
    if (found == m_sessions.end()) {
      continue;
    }
    Session& session = *found->second;
    session.m_phase = Session::Phase::kDropped;
    session.m_drop_refusal = dropped_call.m_refusal;
    session.m_call.m_state->m_changed.Notify();
  }
}

void TargetDispatcher::DispatchReadyCalls() {
  const DispatchBatch batch = Dispatch(m_admission, SteadyNow());
  ApplyDrops(batch.m_dropped);
  for (const CallId id : batch.m_ready_calls) {
    Session& session = *m_sessions.at(id);
    session.m_phase = Session::Phase::kRunning;
    session.m_call.m_state->m_changed.Notify();
  }
}

void TargetDispatcher::RunCall(Session& session) {
  auto opened = m_pool->Open(kConnectTimeout);
  if (!opened) {
    LogLine(LogLevel::kWarning, "target_unreachable")
        .With("request_id", session.m_call.m_start.m_metadata.m_root.value())
        .With("reason", opened.reason());
    OnConnectionLost();
    Refuse(session, MakeNotReadyRefusal(Reason::kTargetUnreachable), "refused");
    return;
  }
  session.m_http = std::move(*opened);
  if (session.m_call.m_state->m_cancelled) {
    return;
  }
  ++m_context.m_counters.m_dispatched;
  const CallMetadata& metadata = session.m_call.m_start.m_metadata;
  TargetCall& running_call =
      m_context.m_running_calls[session.m_target_call_id];
  running_call.m_root = metadata.m_root;
  running_call.m_caller = metadata.m_caller;
  running_call.m_kind = session.m_kind;
  running_call.m_class = metadata.m_class;
  running_call.m_depth = metadata.m_depth;
  running_call.m_deadline = session.m_deadline;
  running_call.m_budget.m_attempts_left = metadata.m_extra_attempts;
  running_call.m_budget.m_is_retry = metadata.m_is_retry;
  std::optional<HttpResponseHead> head;
  if (ForwardRequest(session)) {
    head = session.m_http->ReadHead();
  }
  if (head) {
    RecordResponseStart(m_admission, session.m_id, SteadyNow());
    ClearSuspect(m_context.m_entry.m_quarantine, metadata.m_fingerprint);
    RelayResponse(session, *head);
  } else {
    EndWithoutResponse(session);
  }
  EndTargetCall(m_context.m_running_calls, session.m_target_call_id);
}

bool TargetDispatcher::ForwardRequest(Session& session) {
  const CallStart& start = session.m_call.m_start;
  HttpRequestHead head;
  head.m_method = start.m_request.m_method;
  head.m_path = start.m_request.m_path;
  head.m_headers = start.m_request.m_headers;
  head.m_content_length = start.m_request.m_content_length;
  const Millis time_left = session.m_deadline - SteadyNow();
  head.m_headers.push_back(
      {field::kDeadline, std::to_string(std::max(0.0, time_left.value()))});
  head.m_headers.push_back({field::kCallId, session.m_target_call_id});
  head.m_headers.push_back(
      {field::kRequestId, start.m_metadata.m_root.value()});
  head.m_headers.push_back({field::kCaller, start.m_metadata.m_caller.value()});
  session.m_may_have_reached_target = true;
  session.m_final_claim_step = ClaimStep::kUnknown;
  if (start.m_complete) {
    std::string body;
    if (session.m_call.m_state->m_request_body.buffered() > 0) {
      body = session.m_call.m_state->m_request_body.Pop().value_or("");
    }
    return session.m_http->SendHead(head, body, true);
  }
  return session.m_http->SendHead(head, {}, false) && SendRequestBody(session);
}

bool TargetDispatcher::SendRequestBody(Session& session) {
  session.m_call.m_sender->GrantInitialCredit();
  BodyPipe& body = session.m_call.m_state->m_request_body;
  while (true) {
    const auto bytes = body.Pop();
    if (!bytes) {
      session.m_http->Cancel();
      return false;
    }
    if (!session.m_http->SendBody(*bytes, bytes->empty())) {
      return false;
    }
    if (bytes->empty()) {
      return true;
    }
  }
}

void TargetDispatcher::RelayResponse(Session& session,
                                     const HttpResponseHead& head) {
  session.m_has_response_started = true;
  ResponseStart response;
  response.m_status = head.m_status;
  response.m_headers = head.m_headers;
  response.m_load = MakeLoadReport(session.m_kind);
  const auto running_call =
      m_context.m_running_calls.find(session.m_target_call_id);
  if (running_call != m_context.m_running_calls.end()) {
    response.m_spent = running_call->second.m_budget.m_spent;
  }
  std::optional<std::string> bytes = session.m_http->ReadBody();
  std::uint64_t received_bytes = bytes ? bytes->size() : 0;
  response.m_complete =
      bytes && (bytes->empty() || received_bytes == head.m_content_length);
  if (head.m_content_length && !response.m_complete) {
    response.m_headers.push_back(
        {"Content-Length", std::to_string(*head.m_content_length)});
  }
  response.m_body.m_data = bytes.value_or("");
  if (session.m_keyed) {
    session.m_stored_response = response;
  }
  bool is_complete = response.m_complete;
  bool is_wanted = session.m_call.m_sender->SendResponse(std::move(response));
  while ((is_wanted || session.m_keyed) && bytes && !is_complete) {
    bytes = session.m_http->ReadBody();
    if (bytes) {
      received_bytes += bytes->size();
      is_complete = bytes->empty() || received_bytes == head.m_content_length;
      AppendStoredBody(session, *bytes);
      is_wanted = is_wanted && session.m_call.m_sender->SendBody(
                                   std::move(*bytes), is_complete);
    }
  }
  if (is_complete) {
    session.m_final_claim_step = ClaimStep::kComplete;
  } else {
    session.m_stored_response.reset();
    session.m_http->Cancel();
    session.m_call.m_sender->Cut("the target's answer was cut off");
  }
}

// Stores either the whole response or nothing: discards the stored part once
// the body exceeds kMaxLocalResponseBytes.
void TargetDispatcher::AppendStoredBody(Session& session,
                                        const std::string& bytes) {
  if (!session.m_stored_response) {
    return;
  }
  session.m_stored_response->m_body.m_data += bytes;
  session.m_stored_response->m_complete = true;
  if (session.m_stored_response->m_body.m_data.size() >
      kMaxLocalResponseBytes) {
    session.m_stored_response.reset();
  }
}

void TargetDispatcher::EndWithoutResponse(Session& session) {
  session.m_http->Cancel();
  if (session.m_call.m_state->m_cancelled) {
    return;
  }
  if (session.m_is_closed_as_overdue) {
    const Millis overdue_by = SteadyNow() - session.m_deadline;
    Refuse(session,
           MakeUnknownOutcome(Reason::kDeadlinePassed,
                              {"ms_past_deadline", overdue_by.value(), 0}),
           "ended");
    return;
  }
  OnConnectionLost();
  Refuse(session,
         MakeUnknownOutcome(Reason::kTargetLost, {"connection_lost", 1, 0}),
         "ended");
}

// Records and sends a refusal, or the unknown outcome of a call that the target
// may have run.
void TargetDispatcher::Refuse(Session& session,
                              Refusal refusal,
                              const char* action) {
  const CallStart& start = session.m_call.m_start;
  refusal.m_node = m_context.m_settings.m_node;
  Decision decision;
  decision.m_unix_ms = UnixMillis();
  decision.m_root = start.m_metadata.m_root;
  decision.m_hop = "target";
  decision.m_service = start.m_request.m_service;
  decision.m_method = start.m_request.m_method;
  decision.m_path = start.m_request.m_path;
  decision.m_refusal = refusal;
  decision.m_action = action;
  m_context.m_decisions.Add(std::move(decision));
  LogLine(LogLevel::kDebug, "target_refused")
      .With("request_id", start.m_metadata.m_root.value())
      .With("outcome", ToText(refusal.m_execution))
      .With("reason", ToText(refusal.m_reason));
  ResponseStart response;
  response.m_refusal = std::move(refusal);
  response.m_load = MakeLoadReport(session.m_kind);
  const auto running_call =
      m_context.m_running_calls.find(session.m_target_call_id);
  if (running_call != m_context.m_running_calls.end()) {
    response.m_spent = running_call->second.m_budget.m_spent;
  }
  session.m_call.m_sender->SendResponse(std::move(response));
}

void TargetDispatcher::Tick() {
  const Millis now = SteadyNow();
  m_admission.m_long_share = m_context.m_entry.m_policy->m_long_share;
  ApplyDrops(UpdateAdmission(m_admission, now));
  DispatchReadyCalls();
  CancelOverdue(now);
}

// Closes the connection of each overdue call, because nothing else wakes the
// fiber that waits for the head of the response.
void TargetDispatcher::CancelOverdue(Millis now) {
  for (const auto& [id, session] : m_sessions) {
    const Millis grace = session->m_keyed ? kKeyedDeadlineGrace : Millis(0);
    const bool is_overdue = session->m_http &&
                            !session->m_has_response_started &&
                            now > session->m_deadline + grace;
    if (is_overdue && !session->m_is_closed_as_overdue) {
      session->m_is_closed_as_overdue = true;
      session->m_http->Cancel();
    }
  }
}

void TargetDispatcher::BeginLeaving() {
  m_admission.m_leaving = true;
  ApplyDrops(DropQueuedCalls(m_admission, Reason::kNodeLeaving));
}

// Called when a connection breaks or can't be opened. A crash breaks every
// connection, so at the first one all calls that may have reached the target
// and have no response yet become candidates for having caused a crash.
void TargetDispatcher::OnConnectionLost() {
  if (m_is_probing || m_is_target_down) {
    return;
  }
  m_crash_candidates.clear();
  for (const auto& [id, session] : m_sessions) {
    if (session->m_may_have_reached_target &&
        !session->m_has_response_started) {
      m_crash_candidates.push_back(
          {session->m_call.m_start.m_metadata.m_fingerprint,
           session->m_suspect});
    }
  }
  m_is_probing = true;
  m_context.m_loop.Spawn([this] {
    ProbeAfterConnectionLoss();
    m_is_probing = false;
  });
}

// Distinguishes a crash from a single broken connection: after a crash the
// target refuses new connections.
void TargetDispatcher::ProbeAfterConnectionLoss() {
  HttpClientPool probe_pool(m_context.m_loop.io(), m_target->m_endpoint, 1);
  for (int i = 0; i < kProbeCount; ++i) {
    auto opened = probe_pool.Open(kConnectTimeout);
    if (!opened) {
      m_is_target_down = true;
      ConfirmCrash();
      ApplyDrops(DropQueuedCalls(m_admission, Reason::kTargetUnreachable));
      return;
    }
    (*opened)->Cancel();
    if (m_crash_candidates.empty()) {
      return;
    }
    SleepFor(kProbeInterval);
  }
  m_crash_candidates.clear();
}

void TargetDispatcher::ConfirmCrash() {
  if (m_crash_candidates.empty()) {
    return;
  }
  const auto changed_suspects = RecordCrash(m_context.m_entry.m_quarantine,
                                            m_crash_candidates, SteadyNow());
  LogLine(LogLevel::kWarning, "target_crashed")
      .With("in_flight", static_cast<std::uint64_t>(m_crash_candidates.size()))
      .With("suspects", static_cast<std::uint64_t>(changed_suspects.size()));
  if (m_suspects_handler) {
    m_suspects_handler(changed_suspects);
  }
  m_crash_candidates.clear();
}

}  // namespace hemlockpoint
