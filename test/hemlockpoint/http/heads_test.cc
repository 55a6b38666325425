#include "hemlockpoint/http/heads.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

// A peer can send any header fields. std::stoull threw for some of them, which
// ended the process.
TEST(Heads, ContentLengthThatIsNoNumberIsUnknown) {
  for (const char* text :
       {"", "x", "-1", "1x", " 1", "99999999999999999999999", "0x10"}) {
    EXPECT_EQ(ContentLengthOf({{"Content-Length", text}}), std::nullopt)
        << text;
  }
  EXPECT_EQ(ContentLengthOf({}), std::nullopt);
  EXPECT_EQ(ContentLengthOf({{"content-length", "12"}}), 12U);
}

}  // namespace
}  // namespace hemlockpoint
