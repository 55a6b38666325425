#include "hemlockpoint/admission/durations.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

const KindName kShort("stock GET /count");
const KindName kLong("photos POST /batch");

void RecordMany(DurationTable& table,
                const KindName& kind,
                Millis duration,
                int count,
                Millis& now) {
  for (int i = 0; i < count; ++i) {
    now += Millis(10);
    RecordDuration(table, kind, duration, now);
  }
}

TEST(Durations, KnowsNothingAtFirst) {
  const DurationTable table;
  EXPECT_EQ(ExpectedDuration(table, kShort), Millis(0));
  EXPECT_EQ(Slowness(table, kShort), 1);
}

TEST(Durations, LearnsTheServiceTime) {
  DurationTable table;
  Millis now(0);
  RecordMany(table, kShort, Millis(10), 100, now);
  EXPECT_NEAR(ExpectedDuration(table, kShort).value(), 10, 0.1);
  EXPECT_NEAR(Slowness(table, kShort), 1, 0.01);
}

TEST(Durations, ASlowdownDoesNotRaiseTheNormalTime) {
  DurationTable table;
  Millis now(0);
  RecordMany(table, kShort, Millis(10), 200, now);
  RecordMany(table, kShort, Millis(100), 60, now);
  EXPECT_GT(Slowness(table, kShort), 4);
  EXPECT_LT(NormalDuration(table, kShort).value(), 12);
}

TEST(Durations, ALastingChangeBecomesNormal) {
  DurationTable table;
  Millis now(0);
  RecordMany(table, kShort, Millis(10), 200, now);
  RecordMany(table, kShort, Millis(30), 10'000, now);
  EXPECT_LT(Slowness(table, kShort), 1.5);
}

TEST(Durations, DetectsLongWork) {
  DurationTable table;
  Millis now(0);
  RecordMany(table, kShort, Millis(10), 20, now);
  RecordMany(table, kLong, Millis(2000), 20, now);
  EXPECT_TRUE(IsLearnedLong(table, kLong));
  EXPECT_FALSE(IsLearnedLong(table, kShort));
}

TEST(Durations, BoundsTheNumberOfKinds) {
  DurationTable table;
  Millis now(0);
  for (int i = 0; i < 2000; ++i) {
    RecordMany(table, KindName("kind " + std::to_string(i)), Millis(5), 1, now);
  }
  EXPECT_LE(table.m_kinds.size(), kMaxKinds);
}

}  // namespace
}  // namespace hemlockpoint
