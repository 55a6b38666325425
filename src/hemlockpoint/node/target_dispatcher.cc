#include "hemlockpoint/node/target_dispatcher.h"

#include <algorithm>
#include <utility>

#include "hemlockpoint/entry/caller_request.h"
#include "hemlockpoint/log/log.h"

namespace hemlockpoint {

namespace {

constexpr Millis kConnectTimeout(500);
// A target that stops announcing itself gets no new work.
constexpr Millis kAnnouncementLease(3000);
constexpr Millis kProbeInterval(50);
constexpr int kProbeCount = 20;
constexpr Millis kNotReadyRetryAfter(100);
// Work that must run once may end this long after its caller's deadline, so
// that a resend gets its answer.
constexpr Millis kKeyedDeadlineGrace(30'000);
constexpr std::size_t kMaxChildKinds = 32;

Refusal MakeNotReadyRefusal(Reason reason) {
  Refusal refusal = MakeSignalRefusal(reason, {"target_ready", 0, 1});
  refusal.m_retry_after = kNotReadyRetryAfter;
  return refusal;
}

}  // namespace

// One call at this target's node, from its arrival to its end.
struct TargetDispatcher::Session {
  enum class Verdict { kWaiting, kRun, kDropped };

  CallId m_id;
  InboundCall m_call;
  Millis m_deadline;
  KindName m_kind;
  std::string m_target_call_id;
  Verdict m_verdict = Verdict::kWaiting;
  Refusal m_drop_refusal;
  std::unique_ptr<HttpClientCall> m_http;
  /// Bytes of the request may have reached the target.
  bool m_handed_over = false;
  bool m_overdue = false;
  bool m_has_response_started = false;
  bool m_suspect = false;
  /// The call runs at most once under its idempotency key.
  bool m_keyed = false;
  /// How its claim ends, and the answer to keep for resends.
  ClaimStep m_final_claim_step = ClaimStep::kRelease;
  std::optional<ResponseStart> m_stored_response;
};

TargetDispatcher::TargetDispatcher(NodeContext& core, KeyedCalls& keyed)
    : m_context(core), m_keyed(keyed) {
  m_admission.m_queue_capacity = core.m_settings.m_queue_entries;
  m_admission.m_pass_through = core.m_settings.m_pass_through;
}

TargetDispatcher::~TargetDispatcher() = default;

void TargetDispatcher::Announce(const TargetAnnouncement& announcement) {
  const Millis now = SteadyNow();
  const bool restarted =
      !m_target || m_target->m_incarnation != announcement.m_incarnation ||
      !(m_target->m_endpoint == announcement.m_endpoint);
  if (restarted) {
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
  m_lost = false;
  m_target = announcement;
  m_last_announcement = now;
  SetSlots(m_admission.m_limit, static_cast<double>(announcement.m_slots),
           restarted, now);
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
  summary.m_leaving = m_target->m_draining || m_admission.m_leaving || m_lost;
  return summary;
}

void TargetDispatcher::RecordChildKind(const KindName& parent,
                                       const KindName& child) {
  std::set<KindName>& children = m_child_kinds[parent];
  if (children.size() < kMaxChildKinds) {
    children.insert(child);
  }
}

LoadReport TargetDispatcher::Load(const KindName& kind) const {
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
      // One told threshold is enough here, since the calls of this service
      // see the child's targets through their own node only.
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
  if (!m_target || m_target->m_draining) {
    return MakeNotReadyRefusal(Reason::kTargetLeaving);
  }
  if (m_lost) {
    return MakeNotReadyRefusal(Reason::kTargetUnreachable);
  }
  if (m_target->m_service != call.m_start.m_request.m_service) {
    return MakeNotReadyRefusal(Reason::kTargetUnreachable);
  }
  const Millis silence = SteadyNow() - m_last_announcement;
  if (silence > kAnnouncementLease) {
    Refusal refusal = MakeSignalRefusal(
        Reason::kTargetLeaving,
        {"announcement_age_ms", silence.value(), kAnnouncementLease.value()});
    refusal.m_retry_after = kNotReadyRetryAfter;
    return refusal;
  }
  const auto suspicion =
      SuspectStateOf(m_context.m_entry.m_quarantine,
                     call.m_start.m_metadata.m_fingerprint, SteadyNow());
  if (suspicion == SuspectState::kQuarantined && !m_admission.m_pass_through) {
    return MakeSignalRefusal(Reason::kQuarantined, {"target_crashes", 2, 2});
  }
  return std::nullopt;
}

void TargetDispatcher::Serve(InboundCall call) {
  ++m_context.m_counters.m_target_calls;
  Session session;
  session.m_id = CallId(++m_last_session);
  session.m_call = std::move(call);
  const CallStart& start = session.m_call.m_start;
  session.m_deadline = SteadyNow() + start.m_metadata.m_time_left;
  session.m_kind = KindOf(start.m_request.m_service, start.m_request.m_method,
                          start.m_request.m_path);
  session.m_target_call_id = m_context.m_settings.m_node.value() + "-" +
                             std::to_string(m_context.m_incarnation) + "-" +
                             std::to_string(session.m_id.value());
  m_sessions[session.m_id] = &session;
  const CallMetadata& terms = start.m_metadata;
  session.m_keyed = !terms.m_idempotent && !terms.m_key.empty() &&
                    !m_admission.m_pass_through;
  std::optional<ResponseStart> other;
  if (session.m_keyed) {
    other = m_keyed.Begin(start, session.m_deadline);
  }
  if (other) {
    other->m_load = Load(session.m_kind);
    session.m_call.m_sender->SendResponse(std::move(*other));
  } else {
    AdmitAndRun(session);
    if (session.m_keyed) {
      m_keyed.End(start, session.m_final_claim_step, session.m_stored_response);
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
    Run(session);
    FinishCall(m_admission, session.m_id);
    Pump();
  } else if (!session.m_call.m_state->m_cancelled) {
    Refuse(session, session.m_drop_refusal, "refused");
  }
}

bool TargetDispatcher::AwaitDispatch(Session& session) {
  const CallMetadata& terms = session.m_call.m_start.m_metadata;
  CallState& state = *session.m_call.m_state;
  const auto suspicion = SuspectStateOf(m_context.m_entry.m_quarantine,
                                        terms.m_fingerprint, SteadyNow());
  session.m_suspect = terms.m_suspect || suspicion.has_value();
  OfferedCall offered;
  offered.m_call = session.m_id;
  offered.m_root = terms.m_root;
  offered.m_class = terms.m_class;
  offered.m_kind = session.m_kind;
  offered.m_deadline = session.m_deadline;
  offered.m_long = terms.m_long;
  offered.m_suspect = session.m_suspect;
  state.m_on_cancel = [this, &session] {
    // Work that must run once is finished, so that a resend gets its answer.
    if (session.m_http && !session.m_keyed) {
      session.m_http->Cancel();
    } else if (session.m_http) {
      return;
    } else if (CancelQueuedCall(m_admission, session.m_id)) {
      session.m_verdict = Session::Verdict::kDropped;
    }
  };
  if (state.m_cancelled) {
    return false;
  }
  ApplyDrops(Offer(m_admission, offered, SteadyNow()));
  Pump();
  state.m_changed.Wait(
      [&] { return session.m_verdict != Session::Verdict::kWaiting; });
  return session.m_verdict == Session::Verdict::kRun;
}

void TargetDispatcher::ApplyDrops(const std::vector<DroppedCall>& dropped) {
  for (const DroppedCall& drop : dropped) {
    const auto found = m_sessions.find(drop.m_call);
    if (found == m_sessions.end()) {
      continue;
    }
    Session& session = *found->second;
    session.m_verdict = Session::Verdict::kDropped;
    session.m_drop_refusal = drop.m_refusal;
    session.m_call.m_state->m_changed.Notify();
  }
}

void TargetDispatcher::Pump() {
  const DispatchBatch step = Dispatch(m_admission, SteadyNow());
  ApplyDrops(step.m_dropped);
  for (const CallId id : step.m_ready_calls) {
    Session& session = *m_sessions.at(id);
    session.m_verdict = Session::Verdict::kRun;
    session.m_call.m_state->m_changed.Notify();
  }
}

void TargetDispatcher::Run(Session& session) {
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
  const CallMetadata& terms = session.m_call.m_start.m_metadata;
  TargetCall& record = m_context.m_records[session.m_target_call_id];
  record.m_root = terms.m_root;
  record.m_caller = terms.m_caller;
  record.m_kind = session.m_kind;
  record.m_class = terms.m_class;
  record.m_depth = terms.m_depth;
  record.m_deadline = session.m_deadline;
  record.m_budget.m_attempts_left = terms.m_extra_attempts;
  record.m_budget.m_repeat = terms.m_repeat;
  std::optional<HttpResponseHead> head;
  if (ForwardRequest(session)) {
    head = session.m_http->ReadHead();
  }
  if (head) {
    RecordResponseStart(m_admission, session.m_id, SteadyNow());
    ClearSuspect(m_context.m_entry.m_quarantine, terms.m_fingerprint);
    RelayAnswer(session, *head);
  } else {
    EndWithoutResponse(session);
  }
  EndTargetCall(m_context.m_records, session.m_target_call_id);
}

bool TargetDispatcher::ForwardRequest(Session& session) {
  const CallStart& start = session.m_call.m_start;
  HttpRequestHead head;
  head.m_method = start.m_request.m_method;
  head.m_path = start.m_request.m_path;
  head.m_headers = start.m_request.m_headers;
  head.m_content_length = start.m_request.m_content_length;
  const Millis left = session.m_deadline - SteadyNow();
  head.m_headers.push_back(
      {field::kDeadline, std::to_string(std::max(0.0, left.value()))});
  head.m_headers.push_back({field::kCallId, session.m_target_call_id});
  head.m_headers.push_back(
      {field::kRequestId, start.m_metadata.m_root.value()});
  head.m_headers.push_back({field::kCaller, start.m_metadata.m_caller.value()});
  session.m_handed_over = true;
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

void TargetDispatcher::RelayAnswer(Session& session,
                                   const HttpResponseHead& head) {
  session.m_has_response_started = true;
  ResponseStart answer;
  answer.m_status = head.m_status;
  answer.m_headers = head.m_headers;
  answer.m_load = Load(session.m_kind);
  const auto record = m_context.m_records.find(session.m_target_call_id);
  if (record != m_context.m_records.end()) {
    answer.m_spent = record->second.m_budget.m_spent;
  }
  std::optional<std::string> bytes = session.m_http->ReadBody();
  std::uint64_t relayed = bytes ? bytes->size() : 0;
  answer.m_complete =
      bytes && (bytes->empty() || relayed == head.m_content_length);
  if (head.m_content_length && !answer.m_complete) {
    answer.m_headers.push_back(
        {"Content-Length", std::to_string(*head.m_content_length)});
  }
  answer.m_body.m_data = bytes.value_or("");
  if (session.m_keyed) {
    session.m_stored_response = answer;
  }
  bool complete = answer.m_complete;
  bool wanted = session.m_call.m_sender->SendResponse(std::move(answer));
  while ((wanted || session.m_keyed) && bytes && !complete) {
    bytes = session.m_http->ReadBody();
    if (bytes) {
      relayed += bytes->size();
      complete = bytes->empty() || relayed == head.m_content_length;
      AppendStoredBody(session, *bytes);
      wanted = wanted &&
               session.m_call.m_sender->SendBody(std::move(*bytes), complete);
    }
  }
  if (complete) {
    session.m_final_claim_step = ClaimStep::kComplete;
  } else {
    session.m_stored_response.reset();
    session.m_http->Cancel();
    session.m_call.m_sender->Cut("the target's answer was cut off");
  }
}

// An answer that is too long to keep is not kept in part.
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
  if (session.m_overdue) {
    const Millis over = SteadyNow() - session.m_deadline;
    Refuse(session,
           MakeUnknownOutcome(Reason::kDeadlinePassed,
                              {"ms_past_deadline", over.value(), 0}),
           "ended");
    return;
  }
  OnConnectionLost();
  Refuse(session,
         MakeUnknownOutcome(Reason::kTargetLost, {"connection_lost", 1, 0}),
         "ended");
}

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
  ResponseStart answer;
  answer.m_refusal = std::move(refusal);
  answer.m_load = Load(session.m_kind);
  const auto record = m_context.m_records.find(session.m_target_call_id);
  if (record != m_context.m_records.end()) {
    answer.m_spent = record->second.m_budget.m_spent;
  }
  session.m_call.m_sender->SendResponse(std::move(answer));
}

void TargetDispatcher::Tick() {
  const Millis now = SteadyNow();
  m_admission.m_long_share = m_context.m_entry.m_policy->m_long_share;
  ApplyDrops(UpdateAdmission(m_admission, now));
  Pump();
  CancelOverdue(now);
}

// The answer's head is awaited by a fiber that only its connection can wake.
void TargetDispatcher::CancelOverdue(Millis now) {
  for (const auto& [id, session] : m_sessions) {
    const Millis grace = session->m_keyed ? kKeyedDeadlineGrace : Millis(0);
    const bool overdue = session->m_http && !session->m_has_response_started &&
                         now > session->m_deadline + grace;
    if (overdue && !session->m_overdue) {
      session->m_overdue = true;
      session->m_http->Cancel();
    }
  }
}

void TargetDispatcher::BeginLeaving() {
  m_admission.m_leaving = true;
  ApplyDrops(DropQueuedCalls(m_admission, Reason::kNodeLeaving));
}

// Every connection breaks at a crash, so the first one to be noticed stands
// for all calls then in flight.
void TargetDispatcher::OnConnectionLost() {
  if (m_probing || m_lost) {
    return;
  }
  m_loss.clear();
  for (const auto& [id, session] : m_sessions) {
    if (session->m_handed_over && !session->m_has_response_started) {
      m_loss.push_back({session->m_call.m_start.m_metadata.m_fingerprint,
                        session->m_suspect});
    }
  }
  m_probing = true;
  m_context.m_loop.Spawn([this] {
    ProbeAfterConnectionLoss();
    m_probing = false;
  });
}

// A single broken connection is no crash; a refused new one is.
void TargetDispatcher::ProbeAfterConnectionLoss() {
  HttpClientPool probe(m_context.m_loop.io(), m_target->m_endpoint, 1);
  for (int i = 0; i < kProbeCount; ++i) {
    auto opened = probe.Open(kConnectTimeout);
    if (!opened) {
      m_lost = true;
      ConfirmCrash();
      ApplyDrops(DropQueuedCalls(m_admission, Reason::kTargetUnreachable));
      return;
    }
    (*opened)->Cancel();
    if (m_loss.empty()) {
      return;
    }
    SleepFor(kProbeInterval);
  }
  m_loss.clear();
}

void TargetDispatcher::ConfirmCrash() {
  if (m_loss.empty()) {
    return;
  }
  const auto changed =
      RecordCrash(m_context.m_entry.m_quarantine, m_loss, SteadyNow());
  LogLine(LogLevel::kWarning, "target_crashed")
      .With("in_flight", static_cast<std::uint64_t>(m_loss.size()))
      .With("suspects", static_cast<std::uint64_t>(changed.size()));
  if (m_suspects_handler) {
    m_suspects_handler(changed);
  }
  m_loss.clear();
}

}  // namespace hemlockpoint
