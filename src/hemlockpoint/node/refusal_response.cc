#include "hemlockpoint/node/refusal_response.h"

#include <cmath>

#include "hemlockpoint/entry/caller_request.h"
#include "hemlockpoint/report/refusal_json.h"

namespace hemlockpoint {

namespace {

constexpr double kMillisPerSecond = 1000;

// Retry-After is in whole seconds (RFC 9110, section 10.2.3).
std::string RetryAfterSeconds(Millis delay) {
  const double seconds = std::ceil(delay.value() / kMillisPerSecond);
  return std::to_string(static_cast<int>(seconds));
}

bool HasReservedPrefix(std::string_view name) {
  const std::string_view prefix = field::kPrefix;
  return name.size() >= prefix.size() &&
         IsSameFieldName(name.substr(0, prefix.size()), prefix);
}

}  // namespace

RefusalResponse MakeRefusalResponse(const Refusal& refusal,
                                    const RequestId& root,
                                    const std::string& detail) {
  RefusalResponse response;
  response.m_head.m_status = HttpStatusOf(refusal);
  HeaderFields& headers = response.m_head.m_headers;
  headers.push_back({"Content-Type", "application/json"});
  headers.push_back({field::kRequestId, root.value()});
  headers.push_back(
      {field::kOutcome, std::string(ToText(refusal.m_execution))});
  headers.push_back(
      {field::kDecidedBy, std::string(ToText(refusal.m_decider))});
  headers.push_back({field::kReason, std::string(ToText(refusal.m_reason))});
  if (refusal.m_retry_after > Millis(0)) {
    headers.push_back(
        {field::kRetryAfter, RetryAfterSeconds(refusal.m_retry_after)});
  }
  nlohmann::ordered_json json = ToJson(refusal);
  json["request_id"] = root.value();
  if (!detail.empty()) {
    json["detail"] = detail;
  }
  // Replaces bytes that are not UTF-8, because some texts come from the caller.
  response.m_body =
      json.dump(-1, ' ', false,
                nlohmann::ordered_json::error_handler_t::replace) +
      "\n";
  return response;
}

HeaderFields MakeResponseHeaders(const HeaderFields& from_target,
                                 const RequestId& root,
                                 std::size_t attempts) {
  HeaderFields headers;
  headers.reserve(from_target.size() + 2);
  for (const HeaderField& header : from_target) {
    if (!HasReservedPrefix(header.m_name)) {
      headers.push_back(header);
    }
  }
  headers.push_back({field::kRequestId, root.value()});
  headers.push_back({field::kAttempts, std::to_string(attempts)});
  return headers;
}

}  // namespace hemlockpoint
