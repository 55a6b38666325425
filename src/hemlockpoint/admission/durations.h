#ifndef HEMLOCKPOINT_ADMISSION_DURATIONS_H_
#define HEMLOCKPOINT_ADMISSION_DURATIONS_H_

#include <cstdint>
#include <unordered_map>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Kinds of work tracked at most; the rest share one row.
inline constexpr std::size_t kMaxKinds = 256;

/// @brief Service time of one kind of work as its node measures it.
struct KindDuration {
  std::uint64_t m_samples = 0;
  /// Moving average over about the last 20 calls.
  Millis m_recent;
  /// Normal service time: falls quickly, rises slowly.
  Millis m_normal;
  Millis m_updated;
};

/// @brief Learned service times by kind of work.
struct DurationTable {
  std::unordered_map<KindName, KindDuration> m_kinds;
};

/// @brief Adds the service time of a finished call.
void RecordDuration(DurationTable& table,
                    const KindName& kind,
                    Millis duration,
                    Millis now);

/// @return The service time to expect now; zero while nothing is known.
[[nodiscard]] Millis ExpectedDuration(const DurationTable& table,
                                      const KindName& kind);

/// @return The service time in normal operation; zero while nothing is known.
[[nodiscard]] Millis NormalDuration(const DurationTable& table,
                                    const KindName& kind);

/// @return Recent over normal service time; 1 while nothing is known.
[[nodiscard]] double Slowness(const DurationTable& table, const KindName& kind);

/// @brief Whether a kind runs much longer than the table's typical kind.
[[nodiscard]] bool IsLearnedLong(const DurationTable& table,
                                 const KindName& kind);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ADMISSION_DURATIONS_H_
