#ifndef HEMLOCKPOINT_DISPATCH_RETRY_WINDOW_H_
#define HEMLOCKPOINT_DISPATCH_RETRY_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief A node's part of the repeats that all nodes may cause at a service.
struct RetryAllowance {
  /// Repeats for each request of this node.
  double m_ratio = 0;
  /// Repeats in a window whatever the number of requests is.
  double m_slack = 0;
  Millis m_window{10'000};
};

/// @brief Requests of one node for a service, and their repeats, over a
/// sliding window.
struct RetryWindow {
  static constexpr std::size_t kBuckets = 20;
  /// Ranks that are told apart; less important ones count as the last.
  static constexpr std::size_t kRanks = 4;

  struct Bucket {
    std::int64_t m_slice_index = -1;
    std::uint64_t m_requests = 0;
    /// Repeats that were allowed or inherited, by rank.
    std::array<std::uint64_t, kRanks> m_repeats{};
    /// Repeats that were asked for, whether they were allowed or not.
    std::array<std::uint64_t, kRanks> m_asked{};
  };
  /// One more than the window has, since its ends cut a bucket each.
  std::array<Bucket, kBuckets + 1> m_buckets{};
};

/// @brief Counts the first sending of a request.
void RecordFirstAttempt(RetryWindow& window,
                        const RetryAllowance& share,
                        Millis now);

/// @brief Counts a call made by a run that was a repeat itself. It can't be
/// withheld, but leaves less room for others.
void RecordInheritedRetry(RetryWindow& window,
                          const RetryAllowance& share,
                          std::uint64_t rank,
                          Millis now);

/// @brief Charges a repeat if the node's part allows it. While targets turn
/// away more calls than there are repeats for, the more important ranks have
/// theirs first: what they asked for in the last second is kept for them over
/// the whole window.
/// @param rank 0 is the most important.
/// @return Whether the request may be sent once more.
[[nodiscard]] bool TryChargeRetry(RetryWindow& window,
                                  const RetryAllowance& share,
                                  std::uint64_t rank,
                                  Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_RETRY_WINDOW_H_
