#ifndef HEMLOCKPOINT_ADMISSION_DURATIONS_H_
#define HEMLOCKPOINT_ADMISSION_DURATIONS_H_

#include <cstdint>
#include <unordered_map>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Maximum number of entries in a table. One of them is shared by the
/// kinds of work without an entry of their own.
inline constexpr std::size_t kMaxKinds = 256;

/// @brief Measured durations of one kind of work. A kind names a service and an
/// operation, for example "stock GET /count".
struct KindDuration {
  std::uint64_t m_samples = 0;
  /// Recent average: the mean of the first 10 samples, then an exponential
  /// moving average over about the last 20 calls.
  Millis m_recent;
  /// Estimated duration without a slowdown. It falls quickly while m_recent is
  /// lower and rises slowly while m_recent is higher.
  Millis m_normal;
  /// Time of the last sample.
  Millis m_updated;
};

/// @brief Measured durations by kind of work. The admission control of a node
/// records service times, a balancer records response latencies.
struct DurationTable {
  std::unordered_map<KindName, KindDuration> m_kinds;
};

/// @brief Adds the duration of a call.
void RecordDuration(DurationTable& table,
                    const KindName& kind,
                    Millis duration,
                    Millis now);

/// @return The recent average (m_recent); 0 while there are too few samples.
[[nodiscard]] Millis ExpectedDuration(const DurationTable& table,
                                      const KindName& kind);

/// @return The normal duration (m_normal); 0 while there are too few samples.
[[nodiscard]] Millis NormalDuration(const DurationTable& table,
                                    const KindName& kind);

/// @return The recent average divided by the normal duration; 1 while there
/// are too few samples.
[[nodiscard]] double Slowness(const DurationTable& table, const KindName& kind);

/// @return Whether the normal duration of the kind is at least 200 ms and at
/// least 8 times the median of all kinds; false while there are too few
/// samples.
[[nodiscard]] bool IsLearnedLong(const DurationTable& table,
                                 const KindName& kind);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ADMISSION_DURATIONS_H_
