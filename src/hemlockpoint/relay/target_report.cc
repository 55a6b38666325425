#include "hemlockpoint/relay/target_report.h"

namespace hemlockpoint {

namespace {

bool IsWithdrawn(const KnownTarget& record, const TargetReport& report) {
  const TargetWithdrawal& withdrawn = record.m_last_withdrawal;
  const bool same_birth =
      withdrawn.m_started_unix_ms == 0 || report.m_started_unix_ms == 0 ||
      report.m_started_unix_ms <= withdrawn.m_started_unix_ms;
  return withdrawn.m_instance == report.m_instance && same_birth;
}

}  // namespace

ReportEffect TakeReport(KnownTarget& record,
                        const TargetReport& report,
                        const ServiceName& service,
                        const Endpoint& place) {
  if (report.m_service != service || !(report.m_endpoint == place) ||
      IsWithdrawn(record, report)) {
    return ReportEffect::kIgnored;
  }
  const auto& current = record.m_current;
  const bool same =
      current && current->m_instance == report.m_instance &&
      (current->m_started_unix_ms == report.m_started_unix_ms ||
       current->m_started_unix_ms == 0 || report.m_started_unix_ms == 0);
  if (current && !same && report.m_started_unix_ms != 0 &&
      report.m_started_unix_ms < current->m_started_unix_ms) {
    return ReportEffect::kIgnored;
  }
  if (same && report.m_sequence <= current->m_sequence) {
    return ReportEffect::kIgnored;
  }
  const bool was_leaving = record.m_leaving;
  record.m_current = report;
  // A target that leaves doesn't come back within an incarnation.
  record.m_leaving = report.m_draining || (same && was_leaving);
  if (!same) {
    return ReportEffect::kNewIncarnation;
  }
  return record.m_leaving && !was_leaving ? ReportEffect::kLeaving
                                          : ReportEffect::kUpdated;
}

bool ApplyWithdrawal(KnownTarget& record, const TargetWithdrawal& withdrawal) {
  const auto& current = record.m_current;
  const bool older = current && withdrawal.m_started_unix_ms != 0 &&
                     withdrawal.m_started_unix_ms < current->m_started_unix_ms;
  if (older) {
    return false;
  }
  record.m_last_withdrawal = withdrawal;
  if (!current || current->m_instance != withdrawal.m_instance) {
    return false;
  }
  record.m_last_withdrawal.m_started_unix_ms = current->m_started_unix_ms;
  record.m_leaving = true;
  return true;
}

}  // namespace hemlockpoint
