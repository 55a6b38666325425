#include "hemlockpoint/node/status.h"

#include <sstream>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

namespace {

using nlohmann::ordered_json;

ordered_json TargetStatusJson(const TargetDispatcher& dispatcher, Millis now) {
  const AdmissionState& admission = dispatcher.admission();
  const TargetSummary summary = dispatcher.Summary();
  ordered_json json;
  json["service"] = summary.m_service.value();
  json["slots"] = summary.m_slots;
  json["connections"] = summary.m_connections;
  json["leaving"] = summary.m_leaving;
  json["limit"] = CurrentLimit(admission.m_limit, now);
  json["in_flight"] = admission.m_running.size();
  json["in_flight_long"] = admission.m_running_long;
  json["queued"] = admission.m_queue.m_size;
  json["shed_threshold"] = admission.m_shed.m_threshold;
  return json;
}

ordered_json ServiceStatusJson(const EntryFilterState& entry, Millis now) {
  ordered_json services = ordered_json::object();
  for (const auto& [service, balancer] : entry.m_services) {
    ordered_json targets = ordered_json::array();
    for (const auto& [node, target] : balancer.m_targets) {
      ordered_json json;
      json["node"] = node.value();
      json["leaving"] = target.m_leaving;
      json["ejected"] = now < target.m_ejected_until || target.m_on_probation;
      json["outstanding"] = target.m_outstanding;
      json["slowness"] = target.m_slowness;
      targets.push_back(json);
    }
    services[service.value()] = targets;
  }
  return services;
}

void WriteGauge(std::ostringstream& text, const char* name, double value) {
  text << "# TYPE hemlockpoint_" << name << " gauge\nhemlockpoint_" << name
       << ' ' << value << '\n';
}

void WriteCounter(std::ostringstream& text,
                  const char* name,
                  std::uint64_t value) {
  text << "# TYPE hemlockpoint_" << name << "_total counter\nhemlockpoint_"
       << name << "_total " << value << '\n';
}

}  // namespace

ordered_json NodeStatusJson(const NodeContext& context,
                            const TargetDispatcher& dispatcher,
                            const MembershipClient& membership) {
  const Millis now = SteadyNow();
  ordered_json json;
  json["node"] = context.m_settings.m_node.value();
  json["incarnation"] = context.m_incarnation;
  json["leaving"] = context.m_leaving;
  json["policy_revision"] = context.m_entry.m_policy->m_revision.value();
  json["control_host"] = ToText(membership.control_endpoint());
  json["has_leader"] = membership.has_leader();
  json["entry_calls"] = context.m_entry_calls;
  json["target_calls"] = dispatcher.calls();
  json["target"] = TargetStatusJson(dispatcher, now);
  json["services"] = ServiceStatusJson(context.m_entry, now);
  return json;
}

ordered_json ToJson(const MemberEntry& member) {
  ordered_json json;
  json["node"] = member.m_node.value();
  json["incarnation"] = member.m_incarnation;
  json["peer"] = member.m_peer;
  json["admin"] = member.m_admin;
  json["region"] = member.m_region;
  json["failure_domain"] = member.m_failure_domain;
  json["service"] = member.m_target.m_service.value();
  json["slots"] = member.m_target.m_slots;
  json["leaving"] = member.m_target.m_leaving;
  json["policy_revision"] = member.m_revision.value();
  return json;
}

std::string MetricsText(const NodeContext& context,
                        const TargetDispatcher& dispatcher) {
  std::ostringstream text;
  const Counters& counters = context.m_counters;
  const AdmissionState& admission = dispatcher.admission();
  WriteCounter(text, "entry_calls", counters.m_entry_calls);
  WriteCounter(text, "entry_answers", counters.m_entry_responses);
  WriteCounter(text, "egress_calls", counters.m_egress_calls);
  WriteCounter(text, "target_calls", counters.m_target_calls);
  WriteCounter(text, "dispatched", counters.m_dispatched);
  WriteCounter(text, "retries", counters.m_retries);
  WriteCounter(text, "reroutes", counters.m_reroutes);
  text << "# TYPE hemlockpoint_refusals_total counter\n";
  for (std::size_t i = 0; i < kReasonCount; ++i) {
    text << "hemlockpoint_refusals_total{reason=\""
         << ToText(static_cast<Reason>(i)) << "\"} " << counters.m_refusals[i]
         << '\n';
  }
  WriteGauge(text, "in_flight",
             static_cast<double>(admission.m_running.size()));
  WriteGauge(text, "queued", static_cast<double>(admission.m_queue.m_size));
  WriteGauge(text, "limit",
             static_cast<double>(CurrentLimit(admission.m_limit, SteadyNow())));
  WriteGauge(text, "shed_threshold", admission.m_shed.m_threshold);
  WriteGauge(text, "policy_revision",
             static_cast<double>(context.m_entry.m_policy->m_revision.value()));
  if (context.m_links != nullptr) {
    const LinkCounters& links = context.m_links->counters();
    WriteCounter(text, "peer_messages_sent", links.m_messages_sent);
    WriteCounter(text, "peer_bytes_sent", links.m_bytes_sent);
    WriteCounter(text, "peer_messages_received", links.m_messages_received);
    WriteCounter(text, "peer_bytes_received", links.m_bytes_received);
    WriteCounter(text, "peer_messages_rejected", links.m_rejected_messages);
    WriteGauge(text, "peer_links",
               static_cast<double>(context.m_links->links()));
  }
  return text.str();
}

}  // namespace hemlockpoint
