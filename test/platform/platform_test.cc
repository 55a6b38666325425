// Parses and writes each message of the platform, and feeds the parsers with
// corrupted and arbitrary bytes.

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "platform/announcements.h"
#include "platform/documents.h"
#include "platform/external_api.h"
#include "platform/protocol_adapter.h"

namespace hemlockpoint::platform {
namespace {

constexpr const char* kValidReport =
    R"({"service":"stock","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":36,"state":"ready","cold_remaining_ms":5,"sequence":4,"born":9})";

std::string MakeDocument(const std::string& route) {
  return R"({"version":"0000000c","routes":[)" + route +
         R"(],"services":[{"name":"stock","health_path":"/h",)"
         R"("max_connections":9,"protocol":"h1","tls":false}],)"
         R"("limits":{"max_header_bytes":1,"max_body_bytes":2,)"
         R"("header_timeout_ms":3,"idle_timeout_ms":4}})";
}

constexpr const char* kValidRoute =
    R"({"name":"r","hostname":"h","path_prefix":"/a/","kind":"safe",)"
    R"("timeout_ms":1200,"target_latency_ms":2000,"priority":2,)"
    R"("service":"stock","max_attempts":2})";

TEST(Announcements, ParsesAReport) {
  const auto report = ParseTargetReport("i-1", kValidReport);
  ASSERT_TRUE(report) << report.reason();
  EXPECT_EQ(report->m_slots, 36U);
  EXPECT_EQ(report->m_started_unix_ms, 9U);
  EXPECT_EQ(report->m_cold_for, Millis(5));
  EXPECT_FALSE(report->m_draining);
}

TEST(Announcements, RejectsReportsWithMissingOrInvalidFields) {
  for (const char* name : {"service", "address", "slots", "state", "sequence",
                           "born", "cold_remaining_ms"}) {
    auto json = nlohmann::json::parse(kValidReport);
    json[name] = nlohmann::json::array({1});
    EXPECT_FALSE(ParseTargetReport("i-1", json.dump())) << name;
    json.erase(name);
    EXPECT_FALSE(ParseTargetReport("i-1", json.dump())) << name;
  }
  auto json = nlohmann::json::parse(kValidReport);
  json["state"] = "asleep";
  EXPECT_FALSE(ParseTargetReport("i-1", json.dump()));
  json = nlohmann::json::parse(kValidReport);
  json["slots"] = -1;
  EXPECT_FALSE(ParseTargetReport("i-1", json.dump()));
  EXPECT_FALSE(ParseTargetReport("i-1", "[]"));
  EXPECT_FALSE(ParseTargetReport("", kValidReport));
}

// Entries of another writer. Each must be rejected with a short reason, and
// none may end the process.
TEST(Announcements, RejectsDeeplyNestedReports) {
  constexpr std::size_t kDepth = 200'000;
  for (const char* open : {"[", "{\"a\":"}) {
    std::string nested;
    for (std::size_t i = 0; i < kDepth; ++i) {
      nested += open;
    }
    EXPECT_FALSE(ParseTargetReport("i-1", nested));
    std::string closed = nested + "1";
    closed.append(kDepth, *open == '[' ? ']' : '}');
    EXPECT_FALSE(ParseTargetReport("i-1", closed));
    EXPECT_FALSE(ParseRouteDocument(closed));
    auto json = nlohmann::json::parse(kValidReport);
    std::string text = json.dump();
    text.insert(1, "\"extra\":" + closed + ",");
    EXPECT_TRUE(ParseTargetReport("i-1", text));
    EXPECT_EQ(ParseTargetWithdrawal("i-1", closed).m_started_unix_ms, 0U);
  }
}

TEST(Announcements, RejectsNumbersAndPortsOutOfRange) {
  for (const char* name : {"slots", "sequence", "born", "cold_remaining_ms"}) {
    for (const char* number :
         {"-1", "1e400", "99999999999999999999999", "18446744073709551615",
          "1.5e308", "\"4\"", "null"}) {
      if (std::string(name) == "cold_remaining_ms" && number[0] != '"' &&
          number != std::string("1e400") && number != std::string("null")) {
        continue;
      }
      std::string text = kValidReport;
      const std::size_t at = text.find(':', text.find(name)) + 1;
      text.replace(at, text.find_first_of(",}", at) - at, number);
      EXPECT_FALSE(ParseTargetReport("i-1", text)) << text;
    }
  }
  for (const char* address :
       {"10.0.0.1:65536", "10.0.0.1:99999999999", "10.0.0.1:0", "10.0.0.1:-1",
        "10.0.0.1:", "10.0.0.1", "10.0.0.256:80", ":80", "", "host:80"}) {
    auto json = nlohmann::json::parse(kValidReport);
    json["address"] = address;
    EXPECT_FALSE(ParseTargetReport("i-1", json.dump())) << address;
  }
}

TEST(Announcements, ReasonsOfRejectionsAreShort) {
  constexpr std::size_t kLong = 1'000'000;
  constexpr std::size_t kMaxReasonBytes = 200;
  for (const char* name : {"state", "address"}) {
    auto json = nlohmann::json::parse(kValidReport);
    json[name] = std::string(kLong, 'x') + ":" + std::string(kLong, 'y');
    const auto report = ParseTargetReport("i-1", json.dump());
    ASSERT_FALSE(report);
    EXPECT_LT(report.reason().size(), kMaxReasonBytes);
  }
}

RC_GTEST_PROP(Announcements,
              ParsesOrRejectsAnyBytes,
              (const std::string& bytes)) {
  (void)ParseTargetReport("i", bytes);
  (void)ParseTargetWithdrawal("i", bytes);
}

RC_GTEST_PROP(Announcements, ParsesOrRejectsCorruptedBytes, ()) {
  std::string bytes = kValidReport;
  bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
      *rc::gen::arbitrary<char>();
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  (void)ParseTargetReport("i", bytes);
}

TEST(Documents, ParsesRoutesServicesAndBounds) {
  const auto document = ParseRouteDocument(MakeDocument(kValidRoute));
  ASSERT_TRUE(document) << document.reason();
  EXPECT_EQ(document->m_version, DocumentVersion(12));
  EXPECT_EQ(document->m_routes[0].m_objective, Millis(2000));
  EXPECT_EQ(document->m_routes[0].m_kind, WorkKind::kSafe);
  EXPECT_EQ(document->m_services[0].m_max_connections, 9U);
  EXPECT_EQ(document->m_bounds.m_idle_timeout, Millis(4));
}

TEST(Documents, ParsesWeightedServices) {
  auto route = nlohmann::json::parse(kValidRoute);
  route.erase("service");
  route["weighted_services"] = {{{"service", "stock"}, {"weight", 90}},
                                {{"service", "stock"}, {"weight", 10}}};
  const auto document = ParseRouteDocument(MakeDocument(route.dump()));
  ASSERT_TRUE(document) << document.reason();
  EXPECT_EQ(document->m_routes[0].m_services[0].m_weight, 90U);
}

TEST(Documents, RejectsInvalidDocumentsAndVersions) {
  const std::vector<std::pair<const char*, nlohmann::json>> invalid_fields = {
      {"service", "nowhere"}, {"max_attempts", 0}, {"path_prefix", "a/"},
      {"hostname", ""},       {"kind", "odd"},     {"priority", "high"},
      {"timeout_ms", 0}};
  for (const auto& [name, value] : invalid_fields) {
    auto route = nlohmann::json::parse(kValidRoute);
    route[name] = value;
    EXPECT_FALSE(ParseRouteDocument(MakeDocument(route.dump()))) << name;
  }
  const std::string document = MakeDocument(kValidRoute);
  EXPECT_FALSE(ParseRouteDocument(document.substr(0, document.size() / 2)));
  EXPECT_FALSE(ParseVersion("c"));
  EXPECT_FALSE(ParseVersion("0000000g"));
  EXPECT_EQ(FormatVersion(DocumentVersion(12)), "0000000c");
}

RC_GTEST_PROP(Documents, ParsesOrRejectsCorruptedBytes, ()) {
  std::string bytes = MakeDocument(kValidRoute);
  bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] =
      *rc::gen::arbitrary<char>();
  bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
  (void)ParseRouteDocument(bytes);
}

TEST(ProtocolAdapter, ReadsARequestAndItsParent) {
  HttpRequestHead head;
  head.m_headers = {{"X-Request-Id", "a1.b2.c3"},
                    {"Host", "h.example"},
                    {"X-Deadline-Ms", "250"}};
  RequestMetadata metadata =
      PlatformProtocolAdapter().m_read_request_metadata(head);
  EXPECT_EQ(metadata.m_parent, RequestId("a1.b2"));
  EXPECT_EQ(metadata.m_time_left, Millis(250));
  head.m_headers = {{"X-Request-Id", "a1"}, {"X-Deadline-Ms", "-5"}};
  metadata = PlatformProtocolAdapter().m_read_request_metadata(head);
  EXPECT_TRUE(metadata.m_parent.empty());
  EXPECT_FALSE(metadata.m_time_left);
}

TEST(ProtocolAdapter, ReplacesTheFieldsThatTheSystemSets) {
  HeaderFields fields = {{"X-Caller-Service", "forged"},
                         {"x-deadline-ms", "99999"},
                         {"X-Expect-Instance", "forged"},
                         {"X-Request-Id", "r1"}};
  PlatformProtocolAdapter().m_write_dispatch_metadata(
      fields, {Millis(250.7), "i-1", ServiceName("gate")});
  EXPECT_EQ(FindHeader(fields, "X-Deadline-Ms"), "250");
  EXPECT_EQ(FindHeader(fields, "X-Caller-Service"), "gate");
  EXPECT_EQ(FindHeader(fields, "X-Expect-Instance"), "i-1");
  EXPECT_EQ(FindHeader(fields, "X-Request-Id"), "r1");
  EXPECT_EQ(fields.size(), 4U);
}

TEST(ProtocolAdapter, DetectsResponsesToOtherRequests) {
  HttpResponseHead head;
  head.m_status = 200;
  head.m_headers = {{"X-Request-Id", "r1"}, {"X-Server-Seal", "s"}};
  const auto read = PlatformProtocolAdapter().m_read_response_metadata;
  EXPECT_FALSE(read(head, RequestId("r1")).m_is_for_other_request);
  EXPECT_TRUE(read(head, RequestId("r2")).m_is_for_other_request);
  head.m_headers.pop_back();
  EXPECT_TRUE(read(head, RequestId("r1")).m_is_for_other_request);
}

TEST(ProtocolAdapter, ParsesALoadAndIgnoresAnInvalidOne) {
  HttpResponseHead head;
  head.m_headers = {{"X-Server-Load", "3,1,8,250"}};
  const auto read = PlatformProtocolAdapter().m_read_response_metadata;
  EXPECT_EQ(read(head, RequestId()).m_load->m_slowdown, 2.5);
  for (const char* invalid : {"", "3", "3,1", "3,1,x", "a,b,c", ",,,"}) {
    head.m_headers[0].m_value = invalid;
    EXPECT_FALSE(read(head, RequestId()).m_load) << invalid;
  }
}

TEST(ProtocolAdapter, UnknownOutcomeNeverHasStatus503) {
  for (std::size_t i = 0; i < kReasonCount; ++i) {
    const Refusal refusal = MakeUnknownOutcome(static_cast<Reason>(i), {});
    const auto head =
        PlatformProtocolAdapter().m_write_refusal(refusal, RequestId("r"));
    EXPECT_TRUE(head.m_status == 502 || head.m_status == 504) << i;
    EXPECT_FALSE(FindHeader(head.m_headers, "Retry-After")) << i;
  }
}

TEST(ProtocolAdapter, RefusalHasARetryAfterField) {
  Refusal refusal = MakeSignalRefusal(Reason::kDeadlineUnreachable, {});
  refusal.m_retry_after = Millis(1250);
  const auto head =
      PlatformProtocolAdapter().m_write_refusal(refusal, RequestId("r"));
  EXPECT_EQ(head.m_status, 503U);
  EXPECT_EQ(FindHeader(head.m_headers, "Retry-After"), "1.250");
}

TEST(ExternalApi, NodeServesOnlyTargetAnnouncements) {
  std::string last_event;
  ExternalOperations node;
  node.m_report = [&](const TargetReport& report) {
    last_event = report.m_instance;
    return true;
  };
  node.m_withdraw = [&](const TargetWithdrawal&) {
    last_event = "gone";
    return true;
  };
  AdminRequest request;
  request.m_method = "PUT";
  request.m_path = "/hemlockpoint/instances/i-7";
  request.m_body = kValidReport;
  EXPECT_EQ(ServeExternal(request, node).m_status, 200U);
  EXPECT_EQ(last_event, "i-7");
  request.m_body = "torn";
  EXPECT_EQ(ServeExternal(request, node).m_status, 400U);
  request.m_method = "DELETE";
  EXPECT_EQ(ServeExternal(request, node).m_status, 200U);
  EXPECT_EQ(last_event, "gone");
  request.m_path = "/hemlockpoint/config";
  EXPECT_EQ(ServeExternal(request, node).m_status, 404U);
}

// Guards against a target that stops after an acknowledgement which its node
// didn't act on.
TEST(ExternalApi, DoesNotAcknowledgeAnAnnouncementThatIsNotActedOn) {
  ExternalOperations node;
  node.m_report = [](const TargetReport&) { return false; };
  node.m_withdraw = [](const TargetWithdrawal&) { return false; };
  AdminRequest request;
  request.m_method = "PUT";
  request.m_path = "/hemlockpoint/instances/i-7";
  request.m_body = kValidReport;
  EXPECT_EQ(ServeExternal(request, node).m_status, 503U);
  request.m_method = "DELETE";
  EXPECT_EQ(ServeExternal(request, node).m_status, 503U);
}

TEST(ExternalApi, ControlHostServesDocumentsOrRedirectsToTheLeader) {
  DocumentOutcome result;
  ExternalOperations control;
  control.m_change_document = [&](const DocumentChange&) { return result; };
  control.m_read_document = [&] { return result; };
  AdminRequest request;
  request.m_method = "PUT";
  request.m_path = "/hemlockpoint/config";
  request.m_headers = {{"If-Match", "00000000"}};
  request.m_body = MakeDocument(kValidRoute);
  using Kind = DocumentOutcome::Kind;
  const std::vector<std::pair<Kind, unsigned>> statuses = {
      {Kind::kAccepted, 200},
      {Kind::kConflict, 412},
      {Kind::kInvalid, 400},
      {Kind::kNotLeader, 503},
      {Kind::kUnknown, 503}};
  for (const auto& [kind, status] : statuses) {
    result.m_kind = kind;
    EXPECT_EQ(ServeExternal(request, control).m_status, status);
  }
  result.m_kind = Kind::kNotLeader;
  result.m_leader = "10.0.0.4:8080";
  const AdminResponse redirect = ServeExternal(request, control);
  EXPECT_EQ(redirect.m_status, 307U);
  EXPECT_EQ(FindHeader(redirect.m_headers, "Location"),
            "http://10.0.0.4:8080/hemlockpoint/config");
  request.m_headers.clear();
  EXPECT_EQ(ServeExternal(request, control).m_status, 400U);
}

}  // namespace
}  // namespace hemlockpoint::platform
