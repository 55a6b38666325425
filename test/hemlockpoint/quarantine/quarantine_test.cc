#include "hemlockpoint/quarantine/quarantine.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

constexpr Fingerprint kPoison(1);
constexpr Fingerprint kInnocent(2);

TEST(Quarantine, RefusesAfterTheSecondCrash) {
  QuarantineTable table;
  RecordCrash(table, {{kPoison, false}, {kInnocent, false}}, Millis(0));
  EXPECT_EQ(StateOf(table, kPoison, Millis(1)), SuspectState::kSuspect);
  RecordCrash(table, {{kPoison, true}, {Fingerprint(3), false}}, Millis(10));
  EXPECT_EQ(StateOf(table, kPoison, Millis(11)), SuspectState::kQuarantined);
}

TEST(Quarantine, DoesNotBlameTheCallsBesideASuspect) {
  QuarantineTable table;
  RecordCrash(table, {{kPoison, false}}, Millis(0));
  RecordCrash(table, {{kPoison, true}, {kInnocent, false}}, Millis(10));
  EXPECT_FALSE(StateOf(table, kInnocent, Millis(11)));
}

TEST(Quarantine, ClearsASuspectThatIsAnswered) {
  QuarantineTable table;
  RecordCrash(table, {{kPoison, false}, {kInnocent, false}}, Millis(0));
  EXPECT_TRUE(RecordSurvival(table, kInnocent));
  EXPECT_FALSE(StateOf(table, kInnocent, Millis(1)));
}

TEST(Quarantine, AnAnswerDoesNotEndAQuarantine) {
  QuarantineTable table;
  RecordCrash(table, {{kPoison, true}}, Millis(0));
  EXPECT_FALSE(RecordSurvival(table, kPoison));
  EXPECT_EQ(StateOf(table, kPoison, Millis(1)), SuspectState::kQuarantined);
}

TEST(Quarantine, ExpiresAndCanBeLifted) {
  QuarantineTable table;
  RecordCrash(table, {{kPoison, true}}, Millis(0));
  EXPECT_FALSE(StateOf(table, kPoison, kQuarantineFor));
  EXPECT_TRUE(Lift(table, kPoison));
  EXPECT_FALSE(Lift(table, kPoison));
}

TEST(Quarantine, AToldSuspicionDoesNotWeakenAQuarantine) {
  QuarantineTable table;
  Merge(table, kPoison, {SuspectState::kQuarantined, Millis(100)});
  Merge(table, kPoison, {SuspectState::kSuspect, Millis(200)});
  EXPECT_EQ(StateOf(table, kPoison, Millis(1)), SuspectState::kQuarantined);
}

TEST(Quarantine, BoundsItsTable) {
  QuarantineTable table;
  for (std::uint64_t i = 0; i < 3 * kMaxSuspects; ++i) {
    RecordCrash(table, {{Fingerprint(i), false}},
                Millis(static_cast<double>(i)));
  }
  EXPECT_LE(table.m_entries.size(), kMaxSuspects);
}

}  // namespace
}  // namespace hemlockpoint
