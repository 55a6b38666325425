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
  using ReplyResult = Result<CtlResponse>;
  std::deque<Endpoint> to_ask(context.m_options.m_nodes.begin(),
                              context.m_options.m_nodes.end());
  std::set<Endpoint> asked;
  std::string reason = "no control host is named; use --node";
  const std::string text = body.is_null() ? "" : body.dump();
  while (!to_ask.empty()) {
    const Endpoint node = to_ask.front();
    to_ask.pop_front();
    if (!asked.insert(node).second) {
      continue;
    }
    const auto reply = context.m_client.Request(
        node, method, path, MakeAuthorizationHeader(context.m_options), text);
    if (!reply) {
      reason = reply.reason();
      continue;
    }
    ordered_json json = ordered_json::parse(reply->m_body, nullptr, false);
    if (json.is_discarded()) {
      reason = ToText(node) + ": the answer is not JSON";
      continue;
    }
    if (reply->m_status != kMisdirected) {
      return CtlResponse{reply->m_status, std::move(json)};
    }
    reason = ToText(node) + ": " + TextOf(json["error"]);
    const auto leader = ParseEndpoint(TextOf(json["leader_admin"]));
    if (leader) {
      to_ask.push_front(*leader);
    }
  }
  return ReplyResult::Failure(reason);
}

Result<ordered_json> GetFromLeader(const CtlContext& context,
                                   const std::string& path) {
  using JsonResult = Result<ordered_json>;
  auto reply = RequestFromLeader(context, "GET", path, nullptr);
  if (!reply) {
    return JsonResult::Failure(reply.reason());
  }
  if (reply->m_status != kOk) {
    return JsonResult::Failure(reply->m_json.dump());
  }
  return std::move(reply->m_json);
}

Result<ordered_json> GetJson(const CtlContext& context,
                             const Endpoint& node,
                             const std::string& path) {
  using JsonResult = Result<ordered_json>;
  const auto reply = context.m_client.Get(node, path);
  if (!reply) {
    return JsonResult::Failure(reply.reason());
  }
  ordered_json json = ordered_json::parse(reply->m_body, nullptr, false);
  if (json.is_discarded()) {
    return JsonResult::Failure(ToText(node) + ": the answer is not JSON");
  }
  if (reply->m_status != kOk) {
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

std::string TextOf(const ordered_json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

}  // namespace hemlockpoint
