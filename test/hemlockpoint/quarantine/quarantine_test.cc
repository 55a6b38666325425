#include "hemlockpoint/quarantine/quarantine.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

constexpr Fingerprint kPoison(1);
constexpr Fingerprint kInnocent(2);

TEST(Quarantine, RefusesAfterTheSecondCrash) {
  QuarantineTable table;
  RecordCrash(table, {{kPoison, false}, {kInnocent, false}}, Millis(0));
  EXPECT_EQ(SuspectStateOf(table, kPoison, Millis(1)), SuspectState::kSuspect);
  RecordCrash(table, {{kPoison, true}, {Fingerprint(3), false}}, Millis(10));
  EXPECT_EQ(SuspectStateOf(table, kPoison, Millis(11)),
            SuspectState::kQuarantined);
}

TEST(Quarantine, DoesNotSuspectCallsBesideASuspect) {
  QuarantineTable table;
  RecordCrash(table, {{kPoison, false}}, Millis(0));
  RecordCrash(table, {{kPoison, true}, {kInnocent, false}}, Millis(10));
  EXPECT_FALSE(SuspectStateOf(table, kInnocent, Millis(11)));
}

TEST(Quarantine, AResponseClearsASuspect) {
  QuarantineTable table;
  RecordCrash(table, {{kPoison, false}, {kInnocent, false}}, Millis(0));
  EXPECT_TRUE(ClearSuspect(table, kInnocent));
  EXPECT_FALSE(SuspectStateOf(table, kInnocent, Millis(1)));
}

TEST(Quarantine, AResponseDoesNotEndAQuarantine) {
  QuarantineTable table;
  RecordCrash(table, {{kPoison, true}}, Millis(0));
  EXPECT_FALSE(ClearSuspect(table, kPoison));
  EXPECT_EQ(SuspectStateOf(table, kPoison, Millis(1)),
            SuspectState::kQuarantined);
}

TEST(Quarantine, ExpiresAndCanBeLifted) {
  QuarantineTable table;
  RecordCrash(table, {{kPoison, true}}, Millis(0));
  EXPECT_FALSE(SuspectStateOf(table, kPoison, kQuarantineDuration));
  EXPECT_TRUE(RemoveSuspectEntry(table, kPoison));
  EXPECT_FALSE(RemoveSuspectEntry(table, kPoison));
}

TEST(Quarantine, AReceivedSuspicionDoesNotWeakenAQuarantine) {
  QuarantineTable table;
  MergeSuspectEntry(table, kPoison, {SuspectState::kQuarantined, Millis(100)});
  MergeSuspectEntry(table, kPoison, {SuspectState::kSuspect, Millis(200)});
  EXPECT_EQ(SuspectStateOf(table, kPoison, Millis(1)),
            SuspectState::kQuarantined);
}

TEST(Quarantine, BoundsItsTable) {
  QuarantineTable table;
  for (std::uint64_t i = 0; i < 3 * kMaxTrackedRequests; ++i) {
    RecordCrash(table, {{Fingerprint(i), false}},
                Millis(static_cast<double>(i)));
  }
  EXPECT_LE(table.m_entries.size(), kMaxTrackedRequests);
}

}  // namespace
}  // namespace hemlockpoint
