#include "hemlockpoint/storage/records.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockpoint {
namespace {

const std::string kFirst = EncodeRecord("first record");
const std::string kSecond = EncodeRecord("second record");

TEST(Records, ReadsBackPayloads) {
  const auto scan = ScanRecords(kFirst + kSecond);
  ASSERT_TRUE(scan);
  EXPECT_EQ(scan->m_payloads,
            std::vector<std::string>({"first record", "second record"}));
  EXPECT_EQ(scan->m_valid_bytes, kFirst.size() + kSecond.size());
}

RC_GTEST_PROP(Records, IgnoresATornTail, ()) {
  const auto written_bytes = *rc::gen::inRange<std::size_t>(0, kSecond.size());
  const auto scan = ScanRecords(kFirst + kSecond.substr(0, written_bytes));
  RC_ASSERT(static_cast<bool>(scan));
  RC_ASSERT(scan->m_payloads.size() == 1U);
  RC_ASSERT(scan->m_valid_bytes == kFirst.size());
}

TEST(Records, IgnoresATailOfZeros) {
  const auto scan = ScanRecords(kFirst + std::string(4096, '\0'));
  ASSERT_TRUE(scan);
  EXPECT_EQ(scan->m_valid_bytes, kFirst.size());
}

RC_GTEST_PROP(Records, RejectsAChangedByteBeforeOtherRecords, ()) {
  std::string bytes = kFirst + kSecond;
  const auto position = *rc::gen::inRange<std::size_t>(0, kFirst.size());
  bytes[position] = static_cast<char>(bytes[position] ^ 0x20);
  RC_ASSERT(!ScanRecords(bytes));
}

RC_GTEST_PROP(Records, RejectsAChangedByteInTheLastRecord, ()) {
  std::string bytes = kFirst + kSecond;
  const auto position =
      *rc::gen::inRange<std::size_t>(kFirst.size(), bytes.size());
  bytes[position] = static_cast<char>(bytes[position] ^ 0x20);
  RC_ASSERT(!ScanRecords(bytes));
}

}  // namespace
}  // namespace hemlockpoint
