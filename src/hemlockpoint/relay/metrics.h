#ifndef HEMLOCKPOINT_RELAY_METRICS_H_
#define HEMLOCKPOINT_RELAY_METRICS_H_

#include <array>
#include <cstdint>
#include <string>

#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/outcome/refusal.h"

namespace hemlockpoint {

/// @brief Histogram of durations with fixed bucket bounds.
struct LatencyHistogram {
  /// Upper bucket bounds in milliseconds. They double from the fastest calls
  /// within a host to the longest configured timeouts.
  static constexpr std::array<double, 15> kUpperBounds = {
      1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16384};
  /// Durations by bucket; the last bucket has no upper bound.
  std::array<std::uint64_t, kUpperBounds.size() + 1> m_counts{};
  /// Sum of all durations in milliseconds.
  double m_sum = 0;
};

void Record(LatencyHistogram& histogram, Millis duration);

/// @brief Mean of the durations that a histogram recorded between two calls.
class IntervalMean {
 public:
  /// @return Mean in milliseconds since the previous call; 0 when nothing was
  /// recorded.
  double Next(const LatencyHistogram& histogram);

 private:
  double m_sum = 0;
  std::uint64_t m_count = 0;
};

/// @brief Event counters of a node in route mode since its start.
struct RelayMetrics {
  std::uint64_t m_requests = 0;
  std::uint64_t m_answers = 0;
  /// Requests whose callers disconnected before the response.
  std::uint64_t m_callers_gone = 0;
  std::uint64_t m_dispatched = 0;
  /// Discarded responses that belonged to other requests.
  std::uint64_t m_foreign_responses = 0;
  /// Retries: further attempts of requests that had reached a target.
  std::uint64_t m_repeats = 0;
  /// Retries that the retry limit prevented.
  std::uint64_t m_repeats_denied = 0;
  /// Further attempts of requests that had not reached a target.
  std::uint64_t m_reroutes = 0;
  /// Calls sent to another failure domain.
  std::uint64_t m_domain_crossings = 0;
  std::array<std::uint64_t, kReasonCount> m_refusals{};
  LatencyHistogram m_request_time;
  LatencyHistogram m_wait_time;
  LatencyHistogram m_service_time;
};

/// @brief Gauges sampled when the metrics are requested.
struct RelayGauges {
  double m_entry_calls = 0;
  double m_running = 0;
  double m_waiting = 0;
  double m_slots = 0;
  double m_document_version = 0;
  double m_members = 0;
  double m_links = 0;
  double m_body_bytes = 0;
  double m_fibers = 0;
  /// 0 if the number of fibers is not limited.
  double m_max_fibers = 0;
  /// 1 when this process leads the control group, else 0.
  double m_leads = 0;
  /// Voters of the control group, those that acknowledge this leader, and how
  /// many of them can be lost; 0 on a process that doesn't lead.
  double m_group_voters = 0;
  double m_group_live_voters = 0;
  double m_group_losses_borne = 0;
  double m_bytes_between_domains = 0;
};

/// @return The metrics in the Prometheus text format, version 0.0.4.
[[nodiscard]] std::string MetricsText(const RelayMetrics& metrics,
                                      const RelayGauges& gauges);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_METRICS_H_
