#include "hemlockpoint/base/endpoint.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockpoint {
namespace {

TEST(Endpoint, ParsesIPv4AndIPv6) {
  EXPECT_EQ(ToText(*ParseEndpoint("127.0.0.1:80")), "127.0.0.1:80");
  EXPECT_EQ(ToText(*ParseEndpoint("[::1]:80")), "[::1]:80");
}

TEST(Endpoint, RejectsInvalidText) {
  EXPECT_EQ(ParseEndpoint("127.0.0.1").reason(), "expected ADDRESS:PORT");
  EXPECT_FALSE(ParseEndpoint("host:80"));
  EXPECT_FALSE(ParseEndpoint("127.0.0.1:0"));
  EXPECT_FALSE(ParseEndpoint("127.0.0.1:65536"));
  EXPECT_FALSE(ParseEndpoint("127.0.0.1:8x"));
}

RC_GTEST_PROP(Endpoint, ParsesOrRejectsAnyText, (const std::string& text)) {
  const auto endpoint = ParseEndpoint(text);
  RC_ASSERT(endpoint || !endpoint.reason().empty());
}

}  // namespace
}  // namespace hemlockpoint
