#include "hemlockpoint/relay/crash_detector.h"

#include <array>
#include <utility>

#include "hemlockpoint/http/client.h"
#include "hemlockpoint/log/log.h"

namespace hemlockpoint {

namespace {

// Delays before the connection attempts that follow a broken connection. There
// are two attempts because a terminating process may still accept connections
// at first.
constexpr std::array<Millis, 2> kProbeDelays = {Millis(50), Millis(200)};
constexpr Millis kProbeTimeout(300);

// Values of SuspectRow::m_state.
constexpr std::uint64_t kStateSuspect = 0;
constexpr std::uint64_t kStateQuarantined = 1;
constexpr std::uint64_t kStateLifted = 2;

}  // namespace

void CrashDetector::OnConnectionLost(std::vector<Fingerprint> in_flight,
                                     const Endpoint& target) {
  // A crash breaks every connection. The first broken one already reports all
  // calls in flight, so later ones are ignored while the probe runs.
  if (m_is_probing) {
    return;
  }
  m_is_probing = true;
  m_context.m_loop.Spawn([this, in_flight = std::move(in_flight), target] {
    if (IsRefusingConnections(target)) {
      CountCrash(in_flight);
    }
    m_is_probing = false;
  });
}

bool CrashDetector::IsRefusingConnections(const Endpoint& target) const {
  HttpClientPool probe(m_context.m_loop.io(), target, 1);
  for (const Millis delay : kProbeDelays) {
    SleepFor(delay);
    auto opened = probe.Open(kProbeTimeout);
    if (!opened) {
      return true;
    }
    (*opened)->Cancel();
  }
  return false;
}

void CrashDetector::CountCrash(const std::vector<Fingerprint>& in_flight) {
  const Millis now = SteadyNow();
  SuspectReport report;
  for (const Fingerprint request : in_flight) {
    AddCrashes(m_context.m_crash_counts, request, 1, now);
    report.m_rows.push_back({request, kStateSuspect, Millis(0), 1});
  }
  LogLine(LogLevel::kWarning, "target_crashed")
      .With("in_flight", static_cast<std::uint64_t>(in_flight.size()));
  if (m_report_handler && !report.m_rows.empty()) {
    m_report_handler(report);
  }
}

void CrashDetector::OnResponse(Fingerprint request) {
  if (m_context.m_crash_counts.m_entries.empty()) {
    return;
  }
  const std::uint64_t crashes = ClearCrashes(m_context.m_crash_counts, request);
  // Smaller counts were never published, so no other node has to clear them.
  if (crashes >= kCrashesUntilBroadcast && m_report_handler) {
    SuspectReport report;
    report.m_rows.push_back({request, kStateLifted, Millis(0), 0});
    m_report_handler(report);
  }
}

void CrashDetector::Handle(const SuspectReport& report) {
  const Millis now = SteadyNow();
  for (const SuspectRow& row : report.m_rows) {
    if (row.m_state == kStateLifted) {
      (void)ClearCrashes(m_context.m_crash_counts, row.m_fingerprint);
      continue;
    }
    MergeCrashTotal(m_context.m_crash_counts, row.m_fingerprint, row.m_crashes,
                    now);
    if (row.m_state == kStateQuarantined) {
      LogLine(LogLevel::kWarning, "request_quarantined")
          .With("fingerprint", row.m_fingerprint.value())
          .With("crashes", row.m_crashes);
    }
  }
}

}  // namespace hemlockpoint
