#ifndef HEMLOCKPOINT_BENCH_LOAD_LOAD_H_
#define HEMLOCKPOINT_BENCH_LOAD_LOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hemlockpoint/runtime/fiber_loop.h"
#include "stream_spec.h"

namespace hemlockpoint {

/// @brief Width of the intervals by which successful requests are counted.
inline constexpr Millis kSuccessIntervalWidth(100);

/// @brief Result of one stream. A request is successful when it got a complete
/// response with status 200.
struct StreamResult {
  std::uint64_t m_requests = 0;
  /// Sends of the requests, resends included.
  std::uint64_t m_attempts = 0;
  std::uint64_t m_successes = 0;
  /// Failed requests by reason, status or transport failure.
  std::map<std::string, std::uint64_t> m_failures_by_reason;
  /// Times from the scheduled start to the complete response, of successful
  /// requests. Sorted.
  std::vector<double> m_success_latencies_ms;
  /// Successful requests by their scheduled start, counted from the start of
  /// the run.
  std::vector<std::uint64_t> m_successes_by_interval;
};

/// @brief Sends the requests of every stream at their scheduled times, without
/// waiting for earlier ones (an open loop). Returns when all have ended.
/// @param seed Determines the scheduled times; also a part of idempotency keys.
[[nodiscard]] std::vector<StreamResult> RunLoad(
    FiberLoop& loop,
    const std::vector<StreamSpec>& streams,
    std::uint64_t seed);

/// @param fraction Between 0 and 1.
/// @return The smallest of the sorted values that at least this fraction of
/// them doesn't exceed; 0 when there are none.
[[nodiscard]] double Quantile(const std::vector<double>& sorted,
                              double fraction);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_BENCH_LOAD_LOAD_H_
