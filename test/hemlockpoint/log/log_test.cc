#include "hemlockpoint/log/log.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

TEST(Log, QuotesValuesThatAreNotPlain) {
  EXPECT_EQ(QuoteLogValue("plain"), "plain");
  EXPECT_EQ(QuoteLogValue(""), "\"\"");
  EXPECT_EQ(QuoteLogValue("two words"), "\"two words\"");
  EXPECT_EQ(QuoteLogValue("a\nlevel=error"), "\"a\\x0alevel=error\"");
  EXPECT_EQ(QuoteLogValue("say \"x\""), "\"say \\\"x\\\"\"");
}

TEST(Log, ParsesLevels) {
  EXPECT_EQ(ParseLogLevel("warning"), LogLevel::kWarning);
  EXPECT_FALSE(ParseLogLevel("loud"));
}

}  // namespace
}  // namespace hemlockpoint
