#include "hemlockpoint/relay/target_report.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

const ServiceName kService("stock");
const Endpoint kPlace{"10.0.0.1", 80};

TargetReport MakeReport(const char* instance,
                        std::uint64_t born,
                        std::uint64_t sequence) {
  TargetReport report;
  report.m_instance = instance;
  report.m_service = kService;
  report.m_endpoint = kPlace;
  report.m_slots = 8;
  report.m_started_unix_ms = born;
  report.m_sequence = sequence;
  return report;
}

ReportEffect Take(KnownTarget& record, const TargetReport& report) {
  return TakeReport(record, report, kService, kPlace);
}

TEST(TargetReport, IgnoresWhatIsLate) {
  KnownTarget record;
  EXPECT_EQ(Take(record, MakeReport("a", 5, 2)), ReportEffect::kNewIncarnation);
  EXPECT_EQ(Take(record, MakeReport("a", 5, 1)), ReportEffect::kIgnored);
  EXPECT_EQ(Take(record, MakeReport("a", 5, 3)), ReportEffect::kUpdated);
}

TEST(TargetReport, AnEarlierBirthNeverComesBack) {
  KnownTarget record;
  (void)Take(record, MakeReport("new", 9, 1));
  EXPECT_EQ(Take(record, MakeReport("old", 5, 100)), ReportEffect::kIgnored);
  EXPECT_EQ(record.m_current->m_instance, "new");
}

TEST(TargetReport, TheSameIdStartsAnewWithALaterBirth) {
  KnownTarget record;
  (void)Take(record, MakeReport("a", 5, 50));
  EXPECT_EQ(Take(record, MakeReport("a", 9, 1)), ReportEffect::kNewIncarnation);
}

TEST(TargetReport, AnotherServiceOrPlaceNamesNoTarget) {
  KnownTarget record;
  TargetReport report = MakeReport("a", 5, 1);
  report.m_service = ServiceName("other");
  EXPECT_EQ(Take(record, report), ReportEffect::kIgnored);
  report = MakeReport("a", 5, 1);
  report.m_endpoint.m_port = 81;
  EXPECT_EQ(Take(record, report), ReportEffect::kIgnored);
}

TEST(TargetReport, ATargetThatLeavesStaysAway) {
  KnownTarget record;
  (void)Take(record, MakeReport("a", 5, 1));
  TargetReport draining = MakeReport("a", 5, 3);
  draining.m_draining = true;
  EXPECT_EQ(Take(record, draining), ReportEffect::kLeaving);
  EXPECT_EQ(Take(record, MakeReport("a", 5, 2)), ReportEffect::kIgnored);
  (void)Take(record, MakeReport("a", 5, 4));
  EXPECT_TRUE(record.m_leaving);
}

TEST(TargetReport, AWithdrawalHoldsAgainstLateReports) {
  KnownTarget record;
  (void)Take(record, MakeReport("a", 5, 1));
  EXPECT_TRUE(ApplyWithdrawal(record, {"a", 5}));
  EXPECT_EQ(Take(record, MakeReport("a", 5, 2)), ReportEffect::kIgnored);
  EXPECT_EQ(Take(record, MakeReport("b", 7, 1)), ReportEffect::kNewIncarnation);
  EXPECT_FALSE(record.m_leaving);
  // A withdrawal of the former one that was delayed.
  EXPECT_FALSE(ApplyWithdrawal(record, {"a", 5}));
  EXPECT_FALSE(record.m_leaving);
}

TEST(TargetReport, AWithdrawalBeforeAnyReportIsRemembered) {
  KnownTarget record;
  EXPECT_FALSE(ApplyWithdrawal(record, {"a", 0}));
  EXPECT_EQ(Take(record, MakeReport("a", 5, 1)), ReportEffect::kIgnored);
}

}  // namespace
}  // namespace hemlockpoint
