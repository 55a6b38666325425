#include "hemlockpoint/routing/thresholds.h"

#include <gtest/gtest.h>

#include "hemlockpoint/admission/shed.h"

namespace hemlockpoint {
namespace {

const KindName kKind("stock GET /count");

TEST(Thresholds, UsesTheHighestThreshold) {
  ThresholdTable table;
  RecordThreshold(table, kKind, NodeId("a"), 1.5, Millis(0));
  RecordThreshold(table, kKind, NodeId("b"), 2.5, Millis(0));
  EXPECT_EQ(EntryThreshold(table, kKind, 2, Millis(10)), 2.5);
}

TEST(Thresholds, ATargetWithoutAReportMayAdmitEverything) {
  ThresholdTable table;
  RecordThreshold(table, kKind, NodeId("a"), 1.5, Millis(0));
  EXPECT_EQ(EntryThreshold(table, kKind, 2, Millis(10)), kNoShedding);
}

TEST(Thresholds, ExpiresOldThresholds) {
  ThresholdTable table;
  RecordThreshold(table, kKind, NodeId("a"), 1.5, Millis(0));
  EXPECT_EQ(EntryThreshold(table, kKind, 1, kThresholdMaxAge), kNoShedding);
  RemoveOldThresholds(table, kThresholdMaxAge);
  EXPECT_TRUE(table.m_kinds.empty());
}

}  // namespace
}  // namespace hemlockpoint
