#ifndef HEMLOCKPOINT_DISPATCH_RETRY_WINDOW_H_
#define HEMLOCKPOINT_DISPATCH_RETRY_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief One node's part of the retries that all nodes together may send to a
/// service.
struct RetryAllowance {
  /// Retries per first attempt of this node.
  double m_ratio = 0;
  /// Retries per window in addition, independent of the number of first
  /// attempts.
  double m_slack = 0;
  Millis m_window{10'000};
};

/// @brief First attempts and retries of one node at a service, counted over a
/// sliding window. The window is divided into kBuckets slices of equal length.
struct RetryWindow {
  static constexpr std::size_t kBuckets = 20;
  /// Number of ranks with counts of their own. Less important ranks are counted
  /// with the last of them.
  static constexpr std::size_t kRanks = 4;

  /// Counts of one slice.
  struct Bucket {
    /// Number of the slice since time 0; -1 while the bucket is unused.
    std::int64_t m_slice_index = -1;
    std::uint64_t m_first_attempts = 0;
    /// Retries that were charged or inherited, by rank.
    std::array<std::uint64_t, kRanks> m_retries{};
    /// Retries that were requested, including denied ones, by rank.
    std::array<std::uint64_t, kRanks> m_requested_retries{};
  };
  /// One bucket more than slices, since the window covers its first and last
  /// slice only in part.
  std::array<Bucket, kBuckets + 1> m_buckets{};
};

/// @brief Counts the first attempt of a call.
void RecordFirstAttempt(RetryWindow& window,
                        const RetryAllowance& allowance,
                        Millis now);

/// @brief Counts a nested call whose parent is itself a retry. Such a call is
/// never denied, but uses up the allowance.
void RecordInheritedRetry(RetryWindow& window,
                          const RetryAllowance& allowance,
                          std::uint64_t rank,
                          Millis now);

/// @brief Charges a retry if the allowance permits it.
///
/// When more retries are requested than allowed, more important ranks have
/// precedence: their recent demand, extrapolated to the whole window, is
/// reserved for them.
/// @param rank 0 is the most important.
/// @return Whether the call may be retried.
[[nodiscard]] bool TryChargeRetry(RetryWindow& window,
                                  const RetryAllowance& allowance,
                                  std::uint64_t rank,
                                  Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_RETRY_WINDOW_H_
