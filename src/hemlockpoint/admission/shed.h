#ifndef HEMLOCKPOINT_ADMISSION_SHED_H_
#define HEMLOCKPOINT_ADMISSION_SHED_H_

#include <array>
#include <cstdint>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/policy/policy.h"

namespace hemlockpoint {

/// @brief Interval between two updates of the threshold.
inline constexpr Millis kShedWindow(100);

/// @brief Wait in the queue above which a target counts as overloaded.
inline constexpr Millis kMaxQueueDelay(20);

inline constexpr std::size_t kRankBucketsPerClass = 32;
inline constexpr std::size_t kRankBuckets = kMaxClasses * kRankBucketsPerClass;

/// @brief Threshold that no rank exceeds, so that no call is shed.
inline constexpr double kNoShedding = static_cast<double>(kMaxClasses);

/// @brief Shedding threshold of one target.
///
/// The rank of a call is its class index plus a fraction in [0, 1) that is
/// computed from the id of the root request. All nodes compute the same
/// fraction, so every hop sheds the same requests. The method follows Zhou et
/// al., "Overload Control for Scaling WeChat Microservices" (SoCC 2018), except
/// that the admitted rate is derived from the measured throughput.
struct ShedState {
  /// Calls of a higher rank are shed.
  double m_threshold = kNoShedding;
  Millis m_window_start;
  /// Offered calls by rank bucket: a sum over the past windows with
  /// exponentially decaying weights.
  std::array<double, kRankBuckets> m_offered{};
  /// Sum of the weights in m_offered.
  double m_offered_weight = 0;
  /// Offered calls of the current window by rank bucket.
  std::array<std::uint32_t, kRankBuckets> m_window_offered{};
  std::uint64_t m_window_completions = 0;
  /// Longest wait that was recorded in the current window.
  Millis m_window_wait;
  /// Estimate of the completions per window that the target is capable of.
  double m_throughput = 0;
  /// Calls per window to admit; 0 while nothing is shed.
  double m_admit_per_window = 0;
};

/// @param root Id of the root request.
/// @return The rank of a call, as described at ShedState.
[[nodiscard]] double RankOf(std::size_t priority_class, const RequestId& root);

/// @return Whether a call of the rank is shed.
[[nodiscard]] bool IsShed(const ShedState& state, double rank);

/// @brief Counts an arriving call, whether it is admitted or not.
void RecordOffered(ShedState& state, double rank);

/// @brief Counts a completed call.
void RecordServed(ShedState& state);

/// @brief Records how long a call waited until it was dispatched or dropped.
void RecordWait(ShedState& state, Millis wait);

/// @brief Updates the threshold if the current window has ended.
/// @param longest_wait Longest wait among the calls still queued.
/// @param is_at_limit Whether the target has reached its concurrency limit.
void UpdateShedThreshold(ShedState& state,
                         Millis longest_wait,
                         bool is_at_limit,
                         Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ADMISSION_SHED_H_
