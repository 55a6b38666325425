#ifndef HEMLOCKPOINT_ADMISSION_SHED_H_
#define HEMLOCKPOINT_ADMISSION_SHED_H_

#include <array>
#include <cstdint>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/policy/policy.h"

namespace hemlockpoint {

/// @brief Time between two moves of the threshold.
inline constexpr Millis kShedWindow(100);

/// @brief Waiting time in the queue above which a target is overloaded.
inline constexpr Millis kMaxQueueDelay(20);

inline constexpr std::size_t kRankBucketsPerClass = 32;
inline constexpr std::size_t kRankBuckets = kMaxClasses * kRankBucketsPerClass;

/// @brief Threshold over ranks that nothing exceeds.
inline constexpr double kNoShedding = static_cast<double>(kMaxClasses);

/// @brief Shedding threshold of one target.
///
/// A call's rank is its class index plus a fraction that every node computes
/// alike from the root request id, so each hop refuses the same requests.
/// After Zhou et al., "Overload Control for Scaling WeChat Microservices"
/// (SoCC 2018), with the admitted rate taken from measured throughput.
struct ShedState {
  /// Calls of a higher rank are refused.
  double m_threshold = kNoShedding;
  Millis m_window_start;
  /// Calls offered by rank, decaying over some windows.
  std::array<double, kRankBuckets> m_offered{};
  double m_offered_weight = 0;
  std::array<std::uint32_t, kRankBuckets> m_window_offered{};
  std::uint64_t m_window_completions = 0;
  /// Longest wait seen in the window.
  Millis m_window_wait;
  /// Completions per window while the target was busy.
  double m_throughput = 0;
  /// Calls per window that the threshold lets in; 0 while nothing is shed.
  double m_admit_per_window = 0;
};

/// @return The rank of a call: class index plus root fraction.
[[nodiscard]] double RankOf(std::size_t priority_class, const RequestId& root);

/// @return Whether a call of this rank is refused.
[[nodiscard]] bool IsShed(const ShedState& state, double rank);

/// @brief Counts a call that arrived, admitted or not.
void RecordOffered(ShedState& state, double rank);

/// @brief Counts a finished call.
void RecordServed(ShedState& state);

/// @brief Notes how long a call waited until it was dispatched or dropped.
void RecordWait(ShedState& state, Millis wait);

/// @brief Moves the threshold when the window is over.
/// @param oldest_wait Wait of the oldest call still queued.
/// @param busy Whether the target's limit was reached.
void UpdateShedThreshold(ShedState& state,
                         Millis oldest_wait,
                         bool busy,
                         Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ADMISSION_SHED_H_
