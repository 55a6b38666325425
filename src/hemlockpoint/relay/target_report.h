#ifndef HEMLOCKPOINT_RELAY_TARGET_REPORT_H_
#define HEMLOCKPOINT_RELAY_TARGET_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Status report that a target sends to its node.
struct TargetReport {
  /// Instance id. A restarted target may reuse it, so m_started_unix_ms is
  /// needed to identify an incarnation.
  std::string m_instance;
  ServiceName m_service;
  Endpoint m_endpoint;
  /// Calls that the target runs concurrently.
  std::uint64_t m_slots = 0;
  bool m_draining = false;
  /// Increases with each report of one incarnation.
  std::uint64_t m_sequence = 0;
  /// Start of the incarnation in Unix milliseconds; 0 if unknown.
  std::uint64_t m_started_unix_ms = 0;
  /// Time left until the target has warmed up and runs at full speed.
  Millis m_cold_for;
};

/// @brief Notice of a target that this incarnation is leaving permanently.
struct TargetWithdrawal {
  std::string m_instance;
  /// Start of the incarnation in Unix milliseconds; 0 if unknown.
  std::uint64_t m_started_unix_ms = 0;
};

/// @brief What a node knows about the target beside it.
struct KnownTarget {
  /// Latest report of the current incarnation.
  std::optional<TargetReport> m_current;
  /// When m_current arrived.
  Millis m_current_at;
  /// The current incarnation is draining or has withdrawn.
  bool m_leaving = false;
  /// Most recent withdrawal; delayed reports of that incarnation are ignored.
  TargetWithdrawal m_last_withdrawal;
};

/// @brief Effect of a report on the known target.
enum class ReportEffect : unsigned char {
  /// The report is outdated, names another service or endpoint, or comes from
  /// a withdrawn incarnation.
  kIgnored,
  /// The report is of an incarnation that states an earlier start. It is late,
  /// or the clock has been set back before that incarnation started.
  kUnresolved,
  kUpdated,
  kNewIncarnation,
  kLeaving,
};

/// @brief How far a start time may lie in the future, because clocks differ and
/// are adjusted.
inline constexpr std::uint64_t kMaxClockDifferenceMillis = 3'600'000;

/// @return Whether the report states a start in the future. Such a report would
/// make all later incarnations look outdated.
[[nodiscard]] bool IsStartInFuture(const TargetReport& report,
                                   double unix_now_ms);

/// @brief Answer of the target to a health check.
enum class HealthAnswer : unsigned char {
  /// No answer, or one that says nothing about the target's state.
  kNone,
  kServing,
  kNotServing,
  kOtherIncarnation,
};

/// @brief First reports of a target that a new process of the node has not
/// confirmed yet.
struct ReportConfirmation {
  /// When a health check first contradicted a report.
  std::optional<Millis> m_contradicted_since;
};

/// @brief How long after a target has left its reports may still arrive.
inline constexpr Millis kMaxReportDelay{10'000};

/// @brief Decides whether the first report of a target may be used. The former
/// process of the node may have acknowledged that the target leaves, and
/// reports from before that may arrive late. Health checks can be wrong, so a
/// target whose reports keep coming for longer than kMaxReportDelay is used all
/// the same.
/// @param answer Answer to a health check after the report's arrival.
[[nodiscard]] bool IsConfirmed(ReportConfirmation& confirmation,
                               HealthAnswer answer,
                               Millis now);

/// @brief Applies a report. A later start time supersedes an earlier one;
/// within an incarnation, a higher sequence supersedes a lower one. An earlier
/// start time supersedes a later one whose reports stopped so long ago that the
/// earlier one's can't be late.
/// @param service Configured service of the node's target.
/// @param endpoint Configured endpoint of the node's target.
ReportEffect ApplyReport(KnownTarget& known_target,
                         const TargetReport& report,
                         const ServiceName& service,
                         const Endpoint& endpoint,
                         Millis now);

/// @brief Effect of a withdrawal on the known target.
enum class WithdrawalEffect : unsigned char {
  /// The current incarnation is another one, or unknown.
  kRemembered,
  /// The withdrawal states an earlier start than the current incarnation with
  /// the same instance id; see ReportEffect::kUnresolved.
  kUnresolved,
  kLeaving,
};

/// @brief Applies a withdrawal.
WithdrawalEffect ApplyWithdrawal(KnownTarget& known_target,
                                 const TargetWithdrawal& withdrawal);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_TARGET_REPORT_H_
