#include "hemlockpoint/relay/target_report.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

const ServiceName kService("stock");
const Endpoint kEndpoint{"10.0.0.1", 80};

TargetReport MakeReport(const char* instance,
                        std::uint64_t started_unix_ms,
                        std::uint64_t sequence) {
  TargetReport report;
  report.m_instance = instance;
  report.m_service = kService;
  report.m_endpoint = kEndpoint;
  report.m_slots = 8;
  report.m_started_unix_ms = started_unix_ms;
  report.m_sequence = sequence;
  return report;
}

ReportEffect Apply(KnownTarget& known_target,
                   const TargetReport& report,
                   Millis now = Millis(0)) {
  return ApplyReport(known_target, report, kService, kEndpoint, now);
}

TEST(TargetReport, IgnoresOutdatedReports) {
  KnownTarget known_target;
  EXPECT_EQ(Apply(known_target, MakeReport("a", 5, 2)),
            ReportEffect::kNewIncarnation);
  EXPECT_EQ(Apply(known_target, MakeReport("a", 5, 1)), ReportEffect::kIgnored);
  EXPECT_EQ(Apply(known_target, MakeReport("a", 5, 3)), ReportEffect::kUpdated);
}

TEST(TargetReport, DoesNotUseIncarnationWithEarlierStart) {
  KnownTarget known_target;
  (void)Apply(known_target, MakeReport("new", 9, 1));
  EXPECT_EQ(Apply(known_target, MakeReport("old", 5, 100)),
            ReportEffect::kUnresolved);
  EXPECT_EQ(known_target.m_current->m_instance, "new");
}

// Guards against a target whose leave is acknowledged and ignored, because its
// host's clock was set back before it started again under its former id.
TEST(TargetReport, UsesIncarnationWithEarlierStartOnceTheCurrentOneIsSilent) {
  KnownTarget known_target;
  const Millis silent_since(1000);
  (void)Apply(known_target, MakeReport("a", 9, 50), silent_since);
  EXPECT_EQ(Apply(known_target, MakeReport("a", 5, 1),
                  silent_since + kMaxReportDelay),
            ReportEffect::kUnresolved);
  EXPECT_EQ(Apply(known_target, MakeReport("a", 5, 2),
                  silent_since + kMaxReportDelay + Millis(1)),
            ReportEffect::kNewIncarnation);
  TargetReport draining = MakeReport("a", 5, 3);
  draining.m_draining = true;
  EXPECT_EQ(
      Apply(known_target, draining, silent_since + kMaxReportDelay + Millis(2)),
      ReportEffect::kLeaving);
}

TEST(TargetReport, WithdrawalWithEarlierStartIsUnresolved) {
  KnownTarget known_target;
  (void)Apply(known_target, MakeReport("a", 9, 1));
  EXPECT_EQ(ApplyWithdrawal(known_target, {"a", 5}),
            WithdrawalEffect::kUnresolved);
  EXPECT_FALSE(known_target.m_leaving);
}

TEST(TargetReport, RecognizesStartsInTheFuture) {
  constexpr double kNow = 1.8e12;
  const auto now = static_cast<std::uint64_t>(kNow);
  EXPECT_FALSE(IsStartInFuture(MakeReport("a", 0, 1), kNow));
  EXPECT_FALSE(IsStartInFuture(MakeReport("a", now + 5000, 1), kNow));
  EXPECT_TRUE(IsStartInFuture(
      MakeReport("a", now + 2 * kMaxClockDifferenceMillis, 1), kNow));
}

TEST(TargetReport, SameInstanceIdWithLaterStartIsNewIncarnation) {
  KnownTarget known_target;
  (void)Apply(known_target, MakeReport("a", 5, 50));
  EXPECT_EQ(Apply(known_target, MakeReport("a", 9, 1)),
            ReportEffect::kNewIncarnation);
}

TEST(TargetReport, IgnoresOtherServiceOrEndpoint) {
  KnownTarget known_target;
  TargetReport report = MakeReport("a", 5, 1);
  report.m_service = ServiceName("other");
  EXPECT_EQ(Apply(known_target, report), ReportEffect::kIgnored);
  report = MakeReport("a", 5, 1);
  report.m_endpoint.m_port = 81;
  EXPECT_EQ(Apply(known_target, report), ReportEffect::kIgnored);
}

TEST(TargetReport, LeavingTargetStaysLeaving) {
  KnownTarget known_target;
  (void)Apply(known_target, MakeReport("a", 5, 1));
  TargetReport draining = MakeReport("a", 5, 3);
  draining.m_draining = true;
  EXPECT_EQ(Apply(known_target, draining), ReportEffect::kLeaving);
  EXPECT_EQ(Apply(known_target, MakeReport("a", 5, 2)), ReportEffect::kIgnored);
  (void)Apply(known_target, MakeReport("a", 5, 4));
  EXPECT_TRUE(known_target.m_leaving);
}

TEST(TargetReport, IgnoresLateReportsAfterWithdrawal) {
  KnownTarget known_target;
  (void)Apply(known_target, MakeReport("a", 5, 1));
  EXPECT_EQ(ApplyWithdrawal(known_target, {"a", 5}),
            WithdrawalEffect::kLeaving);
  EXPECT_EQ(Apply(known_target, MakeReport("a", 5, 2)), ReportEffect::kIgnored);
  EXPECT_EQ(Apply(known_target, MakeReport("b", 7, 1)),
            ReportEffect::kNewIncarnation);
  EXPECT_FALSE(known_target.m_leaving);
  // A delayed withdrawal of the former incarnation has no effect.
  EXPECT_EQ(ApplyWithdrawal(known_target, {"a", 5}),
            WithdrawalEffect::kRemembered);
  EXPECT_FALSE(known_target.m_leaving);
}

TEST(TargetReport, RemembersWithdrawalBeforeFirstReport) {
  KnownTarget known_target;
  EXPECT_EQ(ApplyWithdrawal(known_target, {"a", 0}),
            WithdrawalEffect::kRemembered);
  EXPECT_EQ(Apply(known_target, MakeReport("a", 5, 1)), ReportEffect::kIgnored);
}

// Guards against a target that has left and is used again by a new process of
// its node, because reports from before arrive as long as they can be delayed.
TEST(ReportConfirmation, LateReportsOfATargetThatHasLeftAreNotConfirmed) {
  ReportConfirmation confirmation;
  const Millis start(5000);
  for (Millis age; age <= kMaxReportDelay; age += Millis(500)) {
    EXPECT_FALSE(
        IsConfirmed(confirmation, HealthAnswer::kNotServing, start + age));
  }
  EXPECT_TRUE(IsConfirmed(confirmation, HealthAnswer::kNotServing,
                          start + kMaxReportDelay + Millis(1)));
}

TEST(ReportConfirmation, AHealthCheckConfirmsAReportAfterAContradiction) {
  ReportConfirmation confirmation;
  EXPECT_FALSE(
      IsConfirmed(confirmation, HealthAnswer::kOtherIncarnation, Millis(5000)));
  EXPECT_TRUE(IsConfirmed(confirmation, HealthAnswer::kServing, Millis(5001)));
}

}  // namespace
}  // namespace hemlockpoint
