#ifndef HEMLOCKPOINT_DISPATCH_REPEAT_WINDOW_H_
#define HEMLOCKPOINT_DISPATCH_REPEAT_WINDOW_H_

#include <array>
#include <cstdint>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief A node's part of the repeats that all nodes may cause at a service.
struct RepeatShare {
  /// Repeats for each request of this node.
  double m_ratio = 0;
  /// Repeats in a window whatever the number of requests is.
  double m_slack = 0;
  Millis m_window{10'000};
};

/// @brief Requests of one node for a service, and their repeats, over a
/// sliding window.
struct RepeatWindow {
  static constexpr std::size_t kBuckets = 10;
  struct Bucket {
    std::int64_t m_slice = -1;
    std::uint64_t m_requests = 0;
    std::uint64_t m_repeats = 0;
  };
  std::array<Bucket, kBuckets> m_buckets{};
};

/// @brief Counts the first sending of a request.
void CountRequest(RepeatWindow& window, const RepeatShare& share, Millis now);

/// @brief Counts a call made by a run that was a repeat itself. It can't be
/// withheld, but leaves less room for others.
void CountInheritedRepeat(RepeatWindow& window,
                          const RepeatShare& share,
                          Millis now);

/// @brief Charges a repeat if the node's part allows it.
/// @return Whether the request may be sent once more.
[[nodiscard]] bool TakeRepeat(RepeatWindow& window,
                              const RepeatShare& share,
                              Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_REPEAT_WINDOW_H_
