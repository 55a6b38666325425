#include "hemlockpoint/quarantine/crash_counts.h"

#include <gtest/gtest.h>

#include "hemlockpoint/quarantine/quarantine.h"

namespace hemlockpoint {
namespace {

const Fingerprint kCulprit(1);
const Fingerprint kBystander(2);

TEST(CrashCounts, ARequestIsRefusedAfterItsThirdCrash) {
  CrashCounts counts;
  for (std::uint64_t crash = 1; crash <= kCrashesUntilQuarantine; ++crash) {
    EXPECT_FALSE(IsQuarantined(counts, kCulprit, Millis(0)));
    AddCrashes(counts, kCulprit, 1, Millis(0));
  }
  EXPECT_TRUE(IsQuarantined(counts, kCulprit, Millis(0)));
}

// Guards against the quarantine of a frequent request. It is in flight at most
// crashes without causing them, and gets responses between them.
TEST(CrashCounts, AResponseClearsTheCrashesOfARequest) {
  CrashCounts counts;
  for (int crash = 0; crash < 20; ++crash) {
    AddCrashes(counts, kBystander, 1, Millis(0));
    AddCrashes(counts, kCulprit, 1, Millis(0));
    EXPECT_EQ(ClearCrashes(counts, kBystander), 1U);
  }
  EXPECT_FALSE(IsQuarantined(counts, kBystander, Millis(0)));
  EXPECT_TRUE(IsQuarantined(counts, kCulprit, Millis(0)));
}

TEST(CrashCounts, TotalsOfOtherProcessesNeverLowerACount) {
  CrashCounts counts;
  AddCrashes(counts, kCulprit, 2, Millis(0));
  MergeCrashTotal(counts, kCulprit, 1, Millis(0));
  EXPECT_EQ(CrashesOf(counts, kCulprit, Millis(0)), 2U);
  MergeCrashTotal(counts, kCulprit, 3, Millis(0));
  EXPECT_TRUE(IsQuarantined(counts, kCulprit, Millis(0)));
}

TEST(CrashCounts, ExpiresAndIsBounded) {
  CrashCounts counts;
  AddCrashes(counts, kCulprit, 1, Millis(0));
  EXPECT_EQ(CrashesOf(counts, kCulprit, kSuspicionDuration), 0U);
  AddCrashes(counts, kCulprit, 1, kSuspicionDuration);
  EXPECT_EQ(CrashesOf(counts, kCulprit, kSuspicionDuration), 1U);
  for (std::uint64_t i = 0; i < kMaxTrackedRequests * 2; ++i) {
    AddCrashes(counts, Fingerprint(100 + i), 1, Millis(0));
  }
  EXPECT_LE(counts.m_entries.size(), kMaxTrackedRequests);
}

}  // namespace
}  // namespace hemlockpoint
