#include "hemlockpoint/entry/caller_request.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockpoint {
namespace {

HttpRequestHead MakeHead(HeaderFields headers) {
  HttpRequestHead head;
  head.m_method = "GET";
  head.m_path = "/count/7?x=1";
  head.m_headers = std::move(headers);
  return head;
}

TEST(CallerRequest, ReadsHeaderFields) {
  const auto request = ParseCallerRequest(MakeHead({
      {"hemlock-service", "stock"},
      {"Hemlock-Deadline-Ms", "250"},
      {"Idempotency-Key", "k-1"},
      {"Authorization", "Bearer abc"},
      {"Accept", "*/*"},
  }));
  ASSERT_TRUE(request) << request.reason();
  EXPECT_EQ(request->m_service.value(), "stock");
  EXPECT_EQ(*request->m_time_left, Millis(250));
  EXPECT_EQ(request->m_key, "k-1");
  EXPECT_EQ(request->m_token, "abc");
}

TEST(CallerRequest, FallsBackToHostForService) {
  const auto request =
      ParseCallerRequest(MakeHead({{"Host", "stock.example:80"}}));
  ASSERT_TRUE(request);
  EXPECT_EQ(request->m_service.value(), "stock");
}

TEST(CallerRequest, DoesNotForwardHemlockFields) {
  const auto request = ParseCallerRequest(MakeHead({
      {"Hemlock-Service", "stock"},
      {"Hemlock-Call-Id", "forged"},
      {"Accept", "*/*"},
  }));
  ASSERT_EQ(request->m_headers.size(), 1U);
  EXPECT_EQ(request->m_headers[0].m_name, "Accept");
}

TEST(CallerRequest, RejectsInvalidDeadlines) {
  for (const char* text : {"-1", "0", "nan", "inf", "1e999", "abc", "", "5x"}) {
    EXPECT_FALSE(ParseCallerRequest(
        MakeHead({{"Host", "stock"}, {"Hemlock-Deadline-Ms", text}})))
        << text;
  }
}

TEST(CallerRequest, RejectsKeyThatIsTooLongOrNotVisible) {
  for (const std::string& key : {std::string(200, 'k'), std::string("a b")}) {
    EXPECT_FALSE(ParseCallerRequest(
        MakeHead({{"Host", "stock"}, {"Idempotency-Key", key}})));
  }
}

RC_GTEST_PROP(CallerRequest,
              AcceptsArbitraryInputWithoutCrashing,
              (const std::string& name, const std::string& value)) {
  HttpRequestHead head = MakeHead({{"Host", value}, {name, value}});
  head.m_path = value;
  (void)ParseCallerRequest(head);
}

TEST(CallerRequest, KindNamesServiceMethodAndFirstSegment) {
  EXPECT_EQ(KindOf(ServiceName("stock"), "GET", "/count/7?x=1").value(),
            "stock GET /count");
  EXPECT_EQ(KindOf(ServiceName("stock"), "GET", "/").value(), "stock GET /");
}

}  // namespace
}  // namespace hemlockpoint
