#include "hemlockpoint/node/refusal_response.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace hemlockpoint {
namespace {

TEST(RefusalResponse, StatesDeciderAndReason) {
  Refusal refusal = MakeSignalRefusal(Reason::kShed, {"threshold", 2.5, 1.5});
  refusal.m_retry_after = Millis(1200);
  const auto response = MakeRefusalResponse(refusal, RequestId("n-1"), "");
  EXPECT_EQ(response.m_head.m_status, 503U);
  EXPECT_EQ(*FindHeader(response.m_head.m_headers, "Retry-After"), "2");
  EXPECT_EQ(*FindHeader(response.m_head.m_headers, "Hemlock-Outcome"),
            "not_run");
  const auto json = nlohmann::json::parse(response.m_body);
  EXPECT_EQ(json["decided_by"], "system");
  EXPECT_EQ(json["reason"], "shed");
  EXPECT_EQ(json["value"], 2.5);
  EXPECT_EQ(json["request_id"], "n-1");
}

TEST(RefusalResponse, ReplacesBytesThatAreNotUtf8) {
  const Refusal refusal = MakeSignalRefusal(Reason::kMalformedRequest, {});
  const auto response =
      MakeRefusalResponse(refusal, RequestId("\xff\xfe"), "\xc3");
  EXPECT_FALSE(
      nlohmann::json::parse(response.m_body, nullptr, false).is_discarded());
}

// A service may copy the fields of a refusal that its nested call got into its
// own response. Relayed unchanged, they would tell the caller that its call did
// not run.
TEST(RefusalResponse, ATargetCannotSpeakForThisSystem) {
  const HeaderFields fields = MakeResponseHeaders(
      {{"Hemlock-Outcome", "not_run"}, {"hemlock-reason", "shed"}, {"X", "y"}},
      RequestId("n-1"), 1);
  EXPECT_FALSE(FindHeader(fields, "Hemlock-Outcome"));
  EXPECT_FALSE(FindHeader(fields, "Hemlock-Reason"));
  EXPECT_EQ(*FindHeader(fields, "X"), "y");
}

}  // namespace
}  // namespace hemlockpoint
