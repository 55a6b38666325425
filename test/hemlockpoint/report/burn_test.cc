#include "hemlockpoint/report/burn.h"

#include <gtest/gtest.h>

#include "hemlockpoint/ctl/report_commands.h"

namespace hemlockpoint {
namespace {

constexpr Millis kMinute(60'000);
const CallAttributes kWork{"gate-1", "stock", "GET", "/count"};

Policy MakePolicy() {
  Policy policy = DefaultPolicy();
  ObjectiveRule rule;
  rule.m_name = {"stock", "counts"};
  rule.m_good_share = 0.9;
  rule.m_latency = Millis(100);
  policy.m_objective_rules.push_back(rule);
  return policy;
}

void RecordCalls(BurnRateTable& table, int good, int bad, Millis now) {
  const Policy policy = MakePolicy();
  for (int i = 0; i < good; ++i) {
    RecordObjectiveOutcome(table, policy, kWork, 0, true, Millis(10), now);
  }
  for (int i = 0; i < bad; ++i) {
    RecordObjectiveOutcome(table, policy, kWork, 0, true, Millis(500), now);
  }
}

TEST(Burn, RateOfOneSpendsTheErrorBudgetExactly) {
  BurnRateTable table;
  RecordCalls(table, 90, 10, kMinute * 1000);
  const ObjectiveRecord& record = table.m_records.begin()->second;
  EXPECT_NEAR(BurnRate(SumLastBuckets(record, 5, kMinute * 1000), 0.9), 1,
              1e-9);
}

TEST(Burn, ShortWindowsExcludeOlderCalls) {
  BurnRateTable table;
  RecordCalls(table, 0, 10, kMinute * 1000);
  RecordCalls(table, 10, 0, kMinute * 1030);
  const ObjectiveRecord& record = table.m_records.begin()->second;
  EXPECT_EQ(SumLastBuckets(record, 5, kMinute * 1030).m_bad_calls, 0U);
  EXPECT_EQ(SumLastBuckets(record, 60, kMinute * 1030).m_bad_calls, 10U);
  EXPECT_EQ(SumLastBuckets(record, 360, kMinute * 1500).m_total_calls, 0U);
}

TEST(Burn, MergesRowsOfSeveralNodes) {
  BurnRateTable a;
  BurnRateTable b;
  RecordCalls(a, 90, 10, kMinute * 1000);
  RecordCalls(b, 100, 0, kMinute * 1000);
  const auto report = MergeBurnRates(
      {BurnRatesToJson(a, kMinute * 1000), BurnRatesToJson(b, kMinute * 1000)});
  ASSERT_EQ(report.size(), 1U);
  EXPECT_EQ(report[0]["windows"][0]["total"], 200);
  EXPECT_NEAR(report[0]["windows"][0]["burn"].get<double>(), 0.5, 1e-9);
}

}  // namespace
}  // namespace hemlockpoint
