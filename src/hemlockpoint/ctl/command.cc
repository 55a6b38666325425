#include "hemlockpoint/ctl/command.h"

#include <deque>
#include <iomanip>
#include <iostream>
#include <set>

namespace hemlockpoint {

namespace {

using nlohmann::ordered_json;

constexpr unsigned kOk = 200;
constexpr unsigned kMisdirected = 421;

HeaderFields MakeAuthorizationHeader(const CtlOptions& options) {
  if (options.m_token.empty()) {
    return {};
  }
  return {{"Authorization", "Bearer " + options.m_token}};
}

}  // namespace

Result<CtlResponse> RequestFromLeader(const CtlContext& context,
                                      const std::string& method,
                                      const std::string& path,
                                      const ordered_json& body) {
  using ResponseResult = Result<CtlResponse>;
  std::deque<Endpoint> candidates(context.m_options.m_nodes.begin(),
                                  context.m_options.m_nodes.end());
  std::set<Endpoint> tried;
  std::string reason = "no control host given; use --node";
  const std::string text = body.is_null() ? "" : body.dump();
  while (!candidates.empty()) {
    const Endpoint node = candidates.front();
    candidates.pop_front();
    if (!tried.insert(node).second) {
      continue;
    }
    const auto response = context.m_client.Request(
        node, method, path, MakeAuthorizationHeader(context.m_options), text);
    if (!response) {
      reason = response.reason();
      continue;
    }
    ordered_json json = ordered_json::parse(response->m_body, nullptr, false);
    if (json.is_discarded()) {
      reason = ToText(node) + ": the answer is not JSON";
      continue;
    }
    if (response->m_status != kMisdirected) {
      return CtlResponse{response->m_status, std::move(json)};
    }
    reason = ToText(node) + ": " + ToDisplayText(json["error"]);
    const auto leader = ParseEndpoint(ToDisplayText(json["leader_admin"]));
    if (leader) {
      candidates.push_front(*leader);
    }
  }
  return ResponseResult::Failure(reason);
}

Result<ordered_json> GetFromLeader(const CtlContext& context,
                                   const std::string& path) {
  using JsonResult = Result<ordered_json>;
  auto response = RequestFromLeader(context, "GET", path, nullptr);
  if (!response) {
    return JsonResult::Failure(response.reason());
  }
  if (response->m_status != kOk) {
    return JsonResult::Failure(response->m_json.dump());
  }
  return std::move(response->m_json);
}

Result<ordered_json> GetJson(const CtlContext& context,
                             const Endpoint& node,
                             const std::string& path) {
  using JsonResult = Result<ordered_json>;
  const auto response = context.m_client.Get(node, path);
  if (!response) {
    return JsonResult::Failure(response.reason());
  }
  ordered_json json = ordered_json::parse(response->m_body, nullptr, false);
  if (json.is_discarded()) {
    return JsonResult::Failure(ToText(node) + ": the answer is not JSON");
  }
  if (response->m_status != kOk) {
    return JsonResult::Failure(ToText(node) + ": " + json.dump());
  }
  return json;
}

CtlExitCode ReportUnreachable(const CtlContext& context,
                              const std::string& reason) {
  context.m_err << "hemlockctl: " << reason << "\n";
  return CtlExitCode::kUnreachable;
}

void PrintRow(std::ostream& out,
              const std::vector<int>& widths,
              const std::vector<std::string>& cells) {
  constexpr int kDefaultColumnWidth = 10;
  for (std::size_t i = 0; i < cells.size(); ++i) {
    const int width = i < widths.size() ? widths[i] : kDefaultColumnWidth;
    out << std::left << std::setw(width) << cells[i] << ' ';
  }
  out << "\n";
}

std::string ToDisplayText(const ordered_json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

}  // namespace hemlockpoint
