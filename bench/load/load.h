#ifndef HEMLOCKPOINT_BENCH_LOAD_LOAD_H_
#define HEMLOCKPOINT_BENCH_LOAD_LOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hemlockpoint/runtime/fiber_loop.h"
#include "stream_spec.h"

namespace hemlockpoint {

/// @brief Width of the intervals in which good answers are counted.
inline constexpr Millis kSuccessIntervalWidth(100);

/// @brief What one stream has met.
struct StreamResult {
  std::uint64_t m_requests = 0;
  std::uint64_t m_attempts = 0;
  std::uint64_t m_successes = 0;
  /// Ends other than a good answer, by reason or status.
  std::map<std::string, std::uint64_t> m_ends;
  /// From the planned start to the whole answer, of good answers, in ms.
  std::vector<double> m_success_latencies_ms;
  /// Good answers by the time of the planned start.
  std::vector<std::uint64_t> m_successes_by_interval;
};

/// @brief Sends every stream's requests at their planned times, whether or
/// not earlier ones were answered (an open loop), and waits for all answers.
[[nodiscard]] std::vector<StreamResult> RunLoad(
    FiberLoop& loop,
    const std::vector<StreamSpec>& streams,
    std::uint64_t seed);

/// @return The value below which a share of the sorted values lies.
[[nodiscard]] double Quantile(const std::vector<double>& sorted, double share);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_BENCH_LOAD_LOAD_H_
