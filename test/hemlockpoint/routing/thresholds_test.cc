#include "hemlockpoint/routing/thresholds.h"

#include <gtest/gtest.h>

#include "hemlockpoint/admission/shed.h"

namespace hemlockpoint {
namespace {

const KindName kKind("stock GET /count");

TEST(Thresholds, CountsTheMostGenerousTarget) {
  ThresholdTable table;
  RecordThreshold(table, kKind, NodeId("a"), 1.5, Millis(0));
  RecordThreshold(table, kKind, NodeId("b"), 2.5, Millis(0));
  EXPECT_EQ(EntryThreshold(table, kKind, 2, Millis(10)), 2.5);
}

TEST(Thresholds, ATargetThatHasToldNothingMayAdmitEverything) {
  ThresholdTable table;
  RecordThreshold(table, kKind, NodeId("a"), 1.5, Millis(0));
  EXPECT_EQ(EntryThreshold(table, kKind, 2, Millis(10)), kNoShedding);
}

TEST(Thresholds, GetsOld) {
  ThresholdTable table;
  RecordThreshold(table, kKind, NodeId("a"), 1.5, Millis(0));
  EXPECT_EQ(EntryThreshold(table, kKind, 1, kThresholdFreshFor), kNoShedding);
  ForgetOldThresholds(table, kThresholdFreshFor);
  EXPECT_TRUE(table.m_kinds.empty());
}

}  // namespace
}  // namespace hemlockpoint
