#include "hemlockpoint/admission/durations.h"

#include <algorithm>
#include <vector>

namespace hemlockpoint {

namespace {

constexpr double kRecentWeight = 1.0 / 20;
constexpr std::uint64_t kMinSamples = 10;
// The normal time follows a real change of the work within a minute or two,
// while a slowdown of some seconds hardly moves it.
constexpr double kNormalRisePerSecond = 0.03;
constexpr double kNormalFallPerSecond = 0.5;
constexpr double kMillisPerSecond = 1000;
// A long kind takes at least this time and this multiple of the typical kind.
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
  const bool full = table.m_kinds.size() + 1 >= kMaxKinds;
  return table.m_kinds[full ? OverflowKind() : kind];
}

const KindDuration* FindKind(const DurationTable& table, const KindName& kind) {
  auto found = table.m_kinds.find(kind);
  if (found == table.m_kinds.end()) {
    found = table.m_kinds.find(OverflowKind());
  }
  const bool known =
      found != table.m_kinds.end() && found->second.m_samples >= kMinSamples;
  return known ? &found->second : nullptr;
}

void UpdateNormal(KindDuration& row, Millis now) {
  const double seconds =
      std::max(0.0, (now - row.m_updated).value()) / kMillisPerSecond;
  if (row.m_recent > row.m_normal) {
    const Millis highest = row.m_normal * (1 + kNormalRisePerSecond * seconds);
    row.m_normal = Min(row.m_recent, highest);
  } else {
    const double share = std::min(1.0, kNormalFallPerSecond * seconds);
    row.m_normal += (row.m_recent - row.m_normal) * share;
  }
}

}  // namespace

void RecordDuration(DurationTable& table,
                    const KindName& kind,
                    Millis duration,
                    Millis now) {
  KindDuration& row = FindOrAddKind(table, kind);
  ++row.m_samples;
  if (row.m_samples <= kMinSamples) {
    // The plain mean, until there are enough samples for a moving one.
    const double weight = 1.0 / static_cast<double>(row.m_samples);
    row.m_recent += (duration - row.m_recent) * weight;
    row.m_normal = row.m_recent;
  } else {
    row.m_recent += (duration - row.m_recent) * kRecentWeight;
    UpdateNormal(row, now);
  }
  row.m_updated = now;
}

Millis ExpectedDuration(const DurationTable& table, const KindName& kind) {
  const KindDuration* row = FindKind(table, kind);
  return row == nullptr ? Millis(0) : row->m_recent;
}

Millis NormalDuration(const DurationTable& table, const KindName& kind) {
  const KindDuration* row = FindKind(table, kind);
  return row == nullptr ? Millis(0) : row->m_normal;
}

double Slowness(const DurationTable& table, const KindName& kind) {
  const KindDuration* row = FindKind(table, kind);
  if (row == nullptr || row->m_normal <= Millis(0)) {
    return 1;
  }
  return row->m_recent / row->m_normal;
}

bool IsLearnedLong(const DurationTable& table, const KindName& kind) {
  const KindDuration* row = FindKind(table, kind);
  if (row == nullptr || row->m_normal < kMinLongDuration) {
    return false;
  }
  // The typical kind is the lower median, so that with two kinds the longer
  // one can stand out.
  std::vector<Millis> normals;
  for (const auto& [name, other] : table.m_kinds) {
    if (other.m_samples >= kMinSamples) {
      normals.push_back(other.m_normal);
    }
  }
  const auto middle =
      normals.begin() + static_cast<std::ptrdiff_t>((normals.size() - 1) / 2);
  std::nth_element(normals.begin(), middle, normals.end());
  return row->m_normal >= *middle * kLongKindFactor;
}

}  // namespace hemlockpoint
