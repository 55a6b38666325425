#include "hemlockpoint/wire/cbor_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "hemlockpoint/wire/call_messages.h"
#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint::internal {
namespace {

TEST(CborReader, AcceptsNestingUpToTheLimit) {
  const std::string deepest = std::string(kMaxCborDepth, '\x81') + '\x01';
  EXPECT_TRUE(IsOneCborItem(deepest));
  EXPECT_FALSE(IsOneCborItem('\x81' + deepest));
}

// Guards against a stack overflow in a parser that recurses into containers.
TEST(CborReader, RejectsDeeplyNestedRecords) {
  EXPECT_FALSE(DecodeFields<HeaderField>(std::string(1'000'000, '\x81')));
  EXPECT_FALSE(DecodeFields<HeaderField>(std::string(1'000'000, '\xa1')));
}

TEST(CborReader, RejectsWhatIsNotExactlyOneItem) {
  EXPECT_FALSE(IsOneCborItem(""));
  EXPECT_FALSE(IsOneCborItem("\x01\x01"));
  // An array of two items with only one.
  EXPECT_FALSE(IsOneCborItem("\x82\x01"));
  // A map and an array that state far more items than there are bytes.
  EXPECT_FALSE(IsOneCborItem("\xbb\xff\xff\xff\xff\xff\xff\xff\xff"));
  EXPECT_FALSE(IsOneCborItem("\x9b\x7f\xff\xff\xff\xff\xff\xff\xff\x01"));
  // An array and a string of indefinite length, and a tag.
  EXPECT_FALSE(IsOneCborItem("\x9f\x01\xff"));
  EXPECT_FALSE(
      IsOneCborItem("\x7f\x61"
                    "a\xff"));
  EXPECT_FALSE(IsOneCborItem("\xc1\x01"));
}

RC_GTEST_PROP(CborReader, ReadsOrRejectsAnyBytes, (const std::string& bytes)) {
  (void)IsOneCborItem(bytes);
  (void)DecodeFields<HeaderField>(bytes);
}

}  // namespace
}  // namespace hemlockpoint::internal
