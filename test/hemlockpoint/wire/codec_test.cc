#include "hemlockpoint/wire/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <nlohmann/json.hpp>

namespace hemlockpoint {
namespace {

CallStart MakeCall() {
  CallStart call;
  call.m_call = CallId(7);
  call.m_metadata.m_root = RequestId("n1-1");
  call.m_metadata.m_time_left = Millis(250.5);
  call.m_request.m_service = ServiceName("stock");
  call.m_request.m_method = "POST";
  call.m_request.m_path = "/book?x=1";
  call.m_request.m_headers = {{"Accept", "*/*"}};
  call.m_request.m_content_length = 3;
  call.m_body.m_data = std::string("a\0b", 3);
  return call;
}

TEST(Codec, RoundTripsCall) {
  const auto decoded = DecodeMessage(EncodeMessage(MakeCall()));
  ASSERT_TRUE(decoded) << decoded.reason();
  const auto& call = std::get<CallStart>(*decoded);
  EXPECT_EQ(call.m_metadata.m_time_left, Millis(250.5));
  EXPECT_EQ(call.m_request.m_headers[0].m_value, "*/*");
  EXPECT_EQ(call.m_request.m_content_length, 3U);
  EXPECT_EQ(call.m_body.m_data, std::string("a\0b", 3));
}

TEST(Codec, RoundTripsRefusal) {
  ResponseStart response;
  response.m_refusal =
      MakeRuleRefusal(Reason::kBlocked, {Revision(4), "s", "r"});
  const auto decoded = DecodeMessage(EncodeMessage(response));
  ASSERT_TRUE(decoded) << decoded.reason();
  const auto& refusal = *std::get<ResponseStart>(*decoded).m_refusal;
  EXPECT_EQ(refusal.m_decider, Decider::kOperator);
  EXPECT_EQ(refusal.m_rule.m_rule, "r");
}

constexpr std::size_t kLengthBytes = 4;

// Prepends the length of the map to an encoded map.
std::string Frame(const std::string& map) {
  std::string bytes;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    bytes.push_back(static_cast<char>(map.size() >> (8 * i)));
  }
  return bytes + map;
}

std::string EncodeJson(const nlohmann::json& json) {
  std::string bytes;
  nlohmann::json::to_cbor(json, bytes);
  return Frame(bytes);
}

std::string EncodeJson(const char* json) {
  return EncodeJson(nlohmann::json::parse(json));
}

TEST(Codec, ReportsDecodeErrors) {
  EXPECT_EQ(DecodeMessage(EncodeJson("[1]")).reason(), "message is not a map");
  EXPECT_EQ(DecodeMessage(EncodeJson("{}")).reason(), "message type missing");
  EXPECT_EQ(DecodeMessage(EncodeJson(R"({"t":"no"})")).reason(),
            "message type not known");
  EXPECT_EQ(DecodeMessage(EncodeJson(R"({"t":"abort"})")).reason(),
            "abort: field missing: call");
  EXPECT_EQ(DecodeMessage(EncodeJson(R"({"t":"abort","call":-1,"reason":""})"))
                .reason(),
            "abort: field of wrong type or range: call");
  EXPECT_EQ(DecodeMessage(Frame("")).reason(),
            "not well-formed CBOR, or nested too deep");
  EXPECT_EQ(DecodeMessage("").reason(), "message cut off");
  EXPECT_EQ(DecodeMessage(EncodeJson("{}").substr(0, kLengthBytes)).reason(),
            "message cut off");
}

// Guards against a stack overflow in a parser that recurses into containers.
TEST(Codec, RejectsDeepNesting) {
  // A million nested arrays of one element (CBOR 0x81).
  const std::string nested(1'000'000, '\x81');
  EXPECT_FALSE(DecodeMessage(Frame(nested)));
}

// Guards against a decoder that depends on the order in which this version
// writes the fields, or on the absence of fields that it does not know.
TEST(Codec, ReadsFieldsInAnyOrderAndIgnoresUnknownOnes) {
  auto json = nlohmann::json::from_cbor(
      EncodeMessage(MakeCall()).substr(kLengthBytes), false, true);
  // nlohmann::json writes the keys in alphabetical order.
  json["a_first"] = {{"nested", {1, 2}}};
  json["zz_last"] = {1, {2, 3}};
  json["r"]["h_"] = {{"k", {1, 2}}};
  const auto decoded = DecodeMessage(EncodeJson(json));
  ASSERT_TRUE(decoded) << decoded.reason();
  const auto& call = std::get<CallStart>(*decoded);
  EXPECT_EQ(call.m_metadata.m_root, RequestId("n1-1"));
  EXPECT_EQ(call.m_metadata.m_time_left, Millis(250.5));
  EXPECT_EQ(call.m_request.m_path, "/book?x=1");
  EXPECT_EQ(call.m_request.m_headers[0].m_name, "Accept");
  EXPECT_EQ(call.m_request.m_content_length, 3U);
}

TEST(Codec, KeepsNumbersOfAnySize) {
  for (const double number :
       {0.0, 0.25, 1.0, 65535.0, 65536.0, 0.1, -3.0, -0.5, 1e300, 16777217.0}) {
    CallStart call = MakeCall();
    call.m_metadata.m_time_left = Millis(number);
    const auto decoded = DecodeMessage(EncodeMessage(call));
    ASSERT_TRUE(decoded) << number;
    EXPECT_EQ(std::get<CallStart>(*decoded).m_metadata.m_time_left,
              Millis(number));
  }
}

TEST(Codec, RejectsEnumeratorOutOfRange) {
  ResponseStart response;
  response.m_refusal = MakeSignalRefusal(Reason::kShed, {});
  auto json =
      nlohmann::json::from_cbor(EncodeMessage(response).substr(kLengthBytes));
  EXPECT_TRUE(DecodeMessage(EncodeJson(json)));
  json["refusal"]["reason"] = kReasonCount;
  EXPECT_FALSE(DecodeMessage(EncodeJson(json)));
}

RC_GTEST_PROP(Codec, DecodesOrRejectsAnyBytes, (const std::string& bytes)) {
  const auto decoded = DecodeMessage(bytes);
  RC_ASSERT(decoded || !decoded.reason().empty());
  const auto framed = DecodeMessage(Frame(bytes));
  RC_ASSERT(framed || !framed.reason().empty());
}

RC_GTEST_PROP(Codec, SurvivesCorruptAndTruncatedMessages, ()) {
  std::string bytes = EncodeMessage(MakeCall());
  const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
  bytes[at] = *rc::gen::arbitrary<char>();
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  (void)DecodeMessage(bytes);
}

}  // namespace
}  // namespace hemlockpoint
