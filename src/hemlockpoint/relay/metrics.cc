#include "hemlockpoint/relay/metrics.h"

#include <algorithm>
#include <numeric>
#include <sstream>

namespace hemlockpoint {

namespace {

void AppendMetric(std::ostringstream& text,
                  const char* name,
                  const char* type,
                  double value) {
  text << "# TYPE hemlockpoint_" << name << ' ' << type << "\nhemlockpoint_"
       << name << ' ' << value << '\n';
}

void AppendMetric(std::ostringstream& text,
                  const char* name,
                  const LatencyHistogram& histogram) {
  text << "# TYPE hemlockpoint_" << name << " histogram\n";
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < histogram.m_counts.size(); ++i) {
    total += histogram.m_counts[i];
    text << "hemlockpoint_" << name << "_bucket{le=\"";
    if (i < LatencyHistogram::kUpperBounds.size()) {
      text << LatencyHistogram::kUpperBounds[i];
    } else {
      text << "+Inf";
    }
    text << "\"} " << total << '\n';
  }
  text << "hemlockpoint_" << name << "_sum " << histogram.m_sum
       << "\nhemlockpoint_" << name << "_count " << total << '\n';
}

}  // namespace

void Record(LatencyHistogram& histogram, Millis duration) {
  const auto& bounds = LatencyHistogram::kUpperBounds;
  const auto bucket =
      std::lower_bound(bounds.begin(), bounds.end(), duration.value());
  ++histogram.m_counts[static_cast<std::size_t>(bucket - bounds.begin())];
  histogram.m_sum += duration.value();
}

double IntervalMean::Next(const LatencyHistogram& histogram) {
  const std::uint64_t count = std::accumulate(
      histogram.m_counts.begin(), histogram.m_counts.end(), std::uint64_t{0});
  const double mean =
      count == m_count
          ? 0
          : (histogram.m_sum - m_sum) / static_cast<double>(count - m_count);
  m_sum = histogram.m_sum;
  m_count = count;
  return mean;
}

std::string MetricsText(const RelayMetrics& metrics,
                        const RelayGauges& gauges) {
  std::ostringstream text;
  const auto count = [&](const char* name, std::uint64_t value) {
    AppendMetric(text, name, "counter", static_cast<double>(value));
  };
  count("requests_total", metrics.m_requests);
  count("answers_total", metrics.m_answers);
  count("callers_gone_total", metrics.m_callers_gone);
  count("dispatched_total", metrics.m_dispatched);
  count("foreign_answers_total", metrics.m_foreign_responses);
  count("repeats_total", metrics.m_repeats);
  count("repeats_denied_total", metrics.m_repeats_denied);
  count("reroutes_total", metrics.m_reroutes);
  count("crossings_total", metrics.m_domain_crossings);
  text << "# TYPE hemlockpoint_refusals_total counter\n";
  for (std::size_t i = 0; i < metrics.m_refusals.size(); ++i) {
    if (metrics.m_refusals[i] != 0) {
      text << "hemlockpoint_refusals_total{reason=\""
           << ToText(static_cast<Reason>(i)) << "\"} " << metrics.m_refusals[i]
           << '\n';
    }
  }
  AppendMetric(text, "request_ms", metrics.m_request_time);
  AppendMetric(text, "wait_ms", metrics.m_wait_time);
  AppendMetric(text, "service_ms", metrics.m_service_time);
  AppendMetric(text, "entry_calls", "gauge", gauges.m_entry_calls);
  AppendMetric(text, "running", "gauge", gauges.m_running);
  AppendMetric(text, "waiting", "gauge", gauges.m_waiting);
  AppendMetric(text, "slots", "gauge", gauges.m_slots);
  AppendMetric(text, "document_version", "gauge", gauges.m_document_version);
  AppendMetric(text, "members", "gauge", gauges.m_members);
  AppendMetric(text, "links", "gauge", gauges.m_links);
  AppendMetric(text, "body_bytes", "gauge", gauges.m_body_bytes);
  AppendMetric(text, "fibers", "gauge", gauges.m_fibers);
  AppendMetric(text, "max_fibers", "gauge", gauges.m_max_fibers);
  AppendMetric(text, "leads", "gauge", gauges.m_leads);
  AppendMetric(text, "group_voters", "gauge", gauges.m_group_voters);
  AppendMetric(text, "group_live_voters", "gauge", gauges.m_group_live_voters);
  AppendMetric(text, "group_losses_borne", "gauge",
               gauges.m_group_losses_borne);
  AppendMetric(text, "bytes_between_domains_total", "counter",
               gauges.m_bytes_between_domains);
  return text.str();
}

}  // namespace hemlockpoint
