// Checks the health of the target when a new process of the node meets it.

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/relay/slot_dispatcher.h"

namespace hemlockpoint {

namespace {

constexpr Millis kProbePeriod(700);
// Period of the check whether a document, which names the health path, is in
// force.
constexpr Millis kDocumentPoll(50);
constexpr unsigned kOk = 200;

}  // namespace

void SlotDispatcher::ProbeUntilKnown() {
  while (!m_context.m_loop.stopping()) {
    SleepFor(kProbePeriod);
    if (m_has_known_target ||
        !m_known_target.m_last_withdrawal.m_instance.empty() ||
        (m_context.m_route_table && ProbeHealthPath())) {
      return;
    }
  }
}

std::optional<SlotDispatcher::HealthResponse> SlotDispatcher::QueryHealth() {
  const TargetSettings& place = m_context.m_settings.m_target;
  const ServiceConfig* service =
      FindService(m_context.m_route_table->m_document, place.m_service);
  if (service == nullptr || service->m_health_path.empty()) {
    return std::nullopt;
  }
  // Another document may be in force once the connection is open.
  HttpRequestHead head;
  head.m_method = "GET";
  head.m_path = service->m_health_path;
  HttpClientPool pool(m_context.m_loop.io(), place.m_endpoint, 1);
  auto opened = pool.Open(kProbePeriod);
  if (!opened) {
    return std::nullopt;
  }
  head.m_headers.push_back({"Host", ToText(place.m_endpoint)});
  std::shared_ptr<HttpClientCall> call = std::move(*opened);
  // Limits the probe's duration: an overloaded target may keep it waiting for a
  // slot.
  m_context.m_loop.Spawn([call] {
    SleepFor(kProbePeriod);
    call->Cancel();
  });
  if (!call->SendHead(head, "", true)) {
    return std::nullopt;
  }
  const auto response = call->ReadHead();
  call->Cancel();
  if (!response) {
    return std::nullopt;
  }
  return HealthResponse{
      response->m_status,
      m_context.m_adapter.m_read_response_metadata(*response, RequestId())};
}

// Returns whether probing is finished.
bool SlotDispatcher::ProbeHealthPath() {
  const TargetSettings& place = m_context.m_settings.m_target;
  const ServiceConfig* service =
      FindService(m_context.m_route_table->m_document, place.m_service);
  if (service == nullptr || service->m_health_path.empty()) {
    return true;
  }
  const auto health = QueryHealth();
  if (!health || health->m_status != kOk || m_has_known_target) {
    return m_has_known_target;
  }
  const ResponseMetadata& metadata = health->m_metadata;
  if (metadata.m_instance.empty() || !metadata.m_load ||
      metadata.m_instance == m_known_target.m_last_withdrawal.m_instance) {
    return true;
  }
  TargetReport report;
  report.m_instance = metadata.m_instance;
  report.m_service = place.m_service;
  report.m_endpoint = place.m_endpoint;
  report.m_slots = metadata.m_load->m_slots;
  (void)UseTargetReport(report);
  return true;
}

void SlotDispatcher::ConfirmReport() {
  if (m_is_confirming) {
    return;
  }
  m_is_confirming = true;
  m_context.m_loop.Spawn([this] {
    while (!m_context.m_route_table && !m_context.m_loop.stopping()) {
      SleepFor(kDocumentPoll);
    }
    HealthAnswer answer = HealthAnswer::kNone;
    if (m_context.m_route_table) {
      const auto health = QueryHealth();
      // A target without a free slot may refuse the check like any call.
      if (health && !health->m_metadata.m_not_run) {
        const bool is_same =
            health->m_metadata.m_instance == m_unconfirmed_report.m_instance;
        answer = health->m_status != kOk ? HealthAnswer::kNotServing
                 : is_same               ? HealthAnswer::kServing
                                         : HealthAnswer::kOtherIncarnation;
      }
    }
    m_is_confirming = false;
    if (m_has_known_target || m_context.m_loop.stopping()) {
      return;
    }
    if (IsConfirmed(m_confirmation, answer, SteadyNow())) {
      (void)UseTargetReport(m_unconfirmed_report);
      return;
    }
    LogLine(LogLevel::kWarning, "report_contradicted")
        .With("instance", m_unconfirmed_report.m_instance)
        .With("sequence", m_unconfirmed_report.m_sequence)
        .With("answer", static_cast<int>(answer));
  });
}

}  // namespace hemlockpoint
