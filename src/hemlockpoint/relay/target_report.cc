#include "hemlockpoint/relay/target_report.h"

namespace hemlockpoint {

namespace {

bool IsWithdrawn(const KnownTarget& known_target, const TargetReport& report) {
  const TargetWithdrawal& withdrawn = known_target.m_last_withdrawal;
  const bool same_start =
      withdrawn.m_started_unix_ms == 0 || report.m_started_unix_ms == 0 ||
      report.m_started_unix_ms <= withdrawn.m_started_unix_ms;
  return withdrawn.m_instance == report.m_instance && same_start;
}

}  // namespace

bool IsStartInFuture(const TargetReport& report, double unix_now_ms) {
  return static_cast<double>(report.m_started_unix_ms) >
         unix_now_ms + static_cast<double>(kMaxClockDifferenceMillis);
}

bool IsConfirmed(ReportConfirmation& confirmation,
                 HealthAnswer answer,
                 Millis now) {
  const bool is_contradicted = answer == HealthAnswer::kNotServing ||
                               answer == HealthAnswer::kOtherIncarnation;
  if (!is_contradicted) {
    return true;
  }
  if (!confirmation.m_contradicted_since) {
    confirmation.m_contradicted_since = now;
  }
  return now - *confirmation.m_contradicted_since > kMaxReportDelay;
}

ReportEffect ApplyReport(KnownTarget& known_target,
                         const TargetReport& report,
                         const ServiceName& service,
                         const Endpoint& endpoint,
                         Millis now) {
  if (report.m_service != service || !(report.m_endpoint == endpoint) ||
      IsWithdrawn(known_target, report)) {
    return ReportEffect::kIgnored;
  }
  const auto& current = known_target.m_current;
  const bool is_same =
      current && current->m_instance == report.m_instance &&
      (current->m_started_unix_ms == report.m_started_unix_ms ||
       current->m_started_unix_ms == 0 || report.m_started_unix_ms == 0);
  if (current && !is_same && report.m_started_unix_ms != 0 &&
      report.m_started_unix_ms < current->m_started_unix_ms &&
      now - known_target.m_current_at <= kMaxReportDelay) {
    return ReportEffect::kUnresolved;
  }
  if (is_same && report.m_sequence <= current->m_sequence) {
    return ReportEffect::kIgnored;
  }
  const bool was_leaving = known_target.m_leaving;
  known_target.m_current = report;
  known_target.m_current_at = now;
  // An incarnation that has started to leave never returns to service.
  known_target.m_leaving = report.m_draining || (is_same && was_leaving);
  if (!is_same) {
    return ReportEffect::kNewIncarnation;
  }
  return known_target.m_leaving && !was_leaving ? ReportEffect::kLeaving
                                                : ReportEffect::kUpdated;
}

WithdrawalEffect ApplyWithdrawal(KnownTarget& known_target,
                                 const TargetWithdrawal& withdrawal) {
  const auto& current = known_target.m_current;
  const bool is_outdated =
      current && withdrawal.m_started_unix_ms != 0 &&
      withdrawal.m_started_unix_ms < current->m_started_unix_ms;
  const bool is_same_instance =
      current && current->m_instance == withdrawal.m_instance;
  if (is_outdated) {
    return is_same_instance ? WithdrawalEffect::kUnresolved
                            : WithdrawalEffect::kRemembered;
  }
  known_target.m_last_withdrawal = withdrawal;
  if (!is_same_instance) {
    return WithdrawalEffect::kRemembered;
  }
  known_target.m_last_withdrawal.m_started_unix_ms = current->m_started_unix_ms;
  known_target.m_leaving = true;
  return WithdrawalEffect::kLeaving;
}

}  // namespace hemlockpoint
