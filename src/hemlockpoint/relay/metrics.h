#ifndef HEMLOCKPOINT_RELAY_METRICS_H_
#define HEMLOCKPOINT_RELAY_METRICS_H_

#include <array>
#include <cstdint>
#include <string>

#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/outcome/refusal.h"

namespace hemlockpoint {

/// @brief Counts of durations up to fixed bounds.
struct LatencyHistogram {
  /// Upper bounds in milliseconds; doubling from the fastest call within a
  /// host to the longest timeouts in use.
  static constexpr std::array<double, 15> kUpperBounds = {
      1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096, 8192, 16384};
  std::array<std::uint64_t, kUpperBounds.size() + 1> m_counts{};
  double m_sum = 0;
};

void Record(LatencyHistogram& histogram, Millis duration);

/// @brief Means over what a histogram has taken in between two looks.
class IntervalMean {
 public:
  /// @return The mean in milliseconds since the last call; 0 for none.
  double Next(const LatencyHistogram& histogram);

 private:
  double m_sum = 0;
  std::uint64_t m_count = 0;
};

/// @brief Events of one node in route mode since its start.
struct RelayMetrics {
  std::uint64_t m_requests = 0;
  std::uint64_t m_answers = 0;
  std::uint64_t m_callers_gone = 0;
  std::uint64_t m_dispatched = 0;
  std::uint64_t m_foreign_responses = 0;
  std::uint64_t m_repeats = 0;
  std::uint64_t m_repeats_denied = 0;
  std::uint64_t m_reroutes = 0;
  std::uint64_t m_domain_crossings = 0;
  std::array<std::uint64_t, kReasonCount> m_refusals{};
  LatencyHistogram m_request_time;
  LatencyHistogram m_wait_time;
  LatencyHistogram m_service_time;
};

/// @brief Values that are read when metrics are asked for.
struct RelayGauges {
  double m_entry_calls = 0;
  double m_running = 0;
  double m_waiting = 0;
  double m_slots = 0;
  double m_document_version = 0;
  double m_members = 0;
  double m_links = 0;
  double m_body_bytes = 0;
  double m_leads = 0;
  double m_bytes_between_domains = 0;
};

/// @return The metrics in the text form of Prometheus, version 0.0.4.
[[nodiscard]] std::string MetricsText(const RelayMetrics& metrics,
                                      const RelayGauges& gauges);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_METRICS_H_
