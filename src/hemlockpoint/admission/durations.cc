#include "hemlockpoint/admission/durations.h"

#include <algorithm>
#include <vector>

namespace hemlockpoint {

namespace {

constexpr double kRecentWeight = 1.0 / 20;
constexpr std::uint64_t kMinSamples = 10;
// Rates of change as shares per second. The normal duration follows a lasting
// change of the work within 1 to 2 minutes, while a slowdown of some seconds
// hardly affects it.
constexpr double kNormalRisePerSecond = 0.03;
constexpr double kNormalFallPerSecond = 0.5;
constexpr double kMillisPerSecond = 1000;
// A kind is long if its normal duration reaches both this time and this
// multiple of the median kind.
constexpr Millis kMinLongDuration(200);
constexpr double kLongKindFactor = 8;

const KindName& OverflowKind() {
  static const KindName kind("other");
  return kind;
}

KindDuration& FindOrAddKind(DurationTable& table, const KindName& kind) {
  const auto found = table.m_kinds.find(kind);
  if (found != table.m_kinds.end()) {
    return found->second;
  }
  const bool is_full = table.m_kinds.size() + 1 >= kMaxKinds;
  return table.m_kinds[is_full ? OverflowKind() : kind];
}

const KindDuration* FindKind(const DurationTable& table, const KindName& kind) {
  auto found = table.m_kinds.find(kind);
  if (found == table.m_kinds.end()) {
    found = table.m_kinds.find(OverflowKind());
  }
  const bool is_known =
      found != table.m_kinds.end() && found->second.m_samples >= kMinSamples;
  return is_known ? &found->second : nullptr;
}

void UpdateNormal(KindDuration& entry, Millis now) {
  const double seconds =
      std::max(0.0, (now - entry.m_updated).value()) / kMillisPerSecond;
  if (entry.m_recent > entry.m_normal) {
    const Millis highest =
        entry.m_normal * (1 + kNormalRisePerSecond * seconds);
    entry.m_normal = Min(entry.m_recent, highest);
  } else {
    const double share = std::min(1.0, kNormalFallPerSecond * seconds);
    entry.m_normal += (entry.m_recent - entry.m_normal) * share;
  }
}

}  // namespace

void RecordDuration(DurationTable& table,
                    const KindName& kind,
                    Millis duration,
                    Millis now) {
  KindDuration& entry = FindOrAddKind(table, kind);
  ++entry.m_samples;
  if (entry.m_samples <= kMinSamples) {
    // Arithmetic mean until there are enough samples for a moving average.
    const double weight = 1.0 / static_cast<double>(entry.m_samples);
    entry.m_recent += (duration - entry.m_recent) * weight;
    entry.m_normal = entry.m_recent;
  } else {
    entry.m_recent += (duration - entry.m_recent) * kRecentWeight;
    UpdateNormal(entry, now);
  }
  entry.m_updated = now;
}

Millis ExpectedDuration(const DurationTable& table, const KindName& kind) {
  const KindDuration* entry = FindKind(table, kind);
  return entry == nullptr ? Millis(0) : entry->m_recent;
}

Millis NormalDuration(const DurationTable& table, const KindName& kind) {
  const KindDuration* entry = FindKind(table, kind);
  return entry == nullptr ? Millis(0) : entry->m_normal;
}

double Slowness(const DurationTable& table, const KindName& kind) {
  const KindDuration* entry = FindKind(table, kind);
  if (entry == nullptr || entry->m_normal <= Millis(0)) {
    return 1;
  }
  return entry->m_recent / entry->m_normal;
}

bool IsLearnedLong(const DurationTable& table, const KindName& kind) {
  const KindDuration* entry = FindKind(table, kind);
  if (entry == nullptr || entry->m_normal < kMinLongDuration) {
    return false;
  }
  // The lower median is used, so that the longer of two kinds can be detected.
  std::vector<Millis> normals;
  for (const auto& [name, other] : table.m_kinds) {
    if (other.m_samples >= kMinSamples) {
      normals.push_back(other.m_normal);
    }
  }
  const auto middle =
      normals.begin() + static_cast<std::ptrdiff_t>((normals.size() - 1) / 2);
  std::nth_element(normals.begin(), middle, normals.end());
  return entry->m_normal >= *middle * kLongKindFactor;
}

}  // namespace hemlockpoint
