#ifndef HEMLOCKPOINT_RELAY_TARGET_REPORT_H_
#define HEMLOCKPOINT_RELAY_TARGET_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief What a target tells of itself.
struct TargetReport {
  /// Names one incarnation, mostly.
  std::string m_instance;
  ServiceName m_service;
  Endpoint m_endpoint;
  std::uint64_t m_slots = 0;
  bool m_draining = false;
  /// Grows with each report of one incarnation.
  std::uint64_t m_sequence = 0;
  /// When the incarnation started, in Unix milliseconds; 0 where not told.
  std::uint64_t m_started_unix_ms = 0;
  /// How much longer the target is slow after its start.
  Millis m_cold_for;
};

/// @brief A target's word that it is leaving for good.
struct TargetWithdrawal {
  std::string m_instance;
  std::uint64_t m_started_unix_ms = 0;
};

/// @brief The target beside a node, as far as the node was told.
struct KnownTarget {
  std::optional<TargetReport> m_current;
  /// It has said that it is leaving.
  bool m_leaving = false;
  /// The incarnation that withdrew last, which late reports don't bring back.
  TargetWithdrawal m_last_withdrawal;
};

/// @brief What a report has changed.
enum class ReportEffect : unsigned char {
  /// Late, of another target, or of one that withdrew.
  kIgnored,
  kUpdated,
  kNewIncarnation,
  kLeaving,
};

/// @brief Takes in a report about the target at `place`. A later birth counts
/// over an earlier one, and within an incarnation a later sequence.
ReportEffect TakeReport(KnownTarget& record,
                        const TargetReport& report,
                        const ServiceName& service,
                        const Endpoint& place);

/// @return Whether it concerns the present incarnation.
bool ApplyWithdrawal(KnownTarget& record, const TargetWithdrawal& withdrawal);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_TARGET_REPORT_H_
