#include "hemlockpoint/ctl/commands.h"

#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

namespace hemlockpoint {

namespace {

using nlohmann::ordered_json;

constexpr unsigned kOk = 200;
// Hops that one explanation follows at most.
constexpr std::size_t kMaxExplainedNodes = 64;

struct Context {
  const CtlOptions& m_options;
  const AdminClient& m_client;
  std::ostream& m_out;
  std::ostream& m_err;
};

using Command = std::function<CtlExit(Context&)>;

Result<ordered_json> GetJson(const Context& context,
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

// Members as the first control host knows them that answers with any.
Result<ordered_json> GetMembers(const Context& context) {
  using JsonResult = Result<ordered_json>;
  std::string reason = "no node is named; use --node";
  for (const Endpoint& node : context.m_options.m_nodes) {
    const auto json = GetJson(context, node, "/hemlock/v1/members");
    if (json && !(*json)["members"].empty()) {
      return (*json)["members"];
    }
    reason = json ? ToText(node) +
                        " knows no members: ask the leader of the "
                        "control group"
                  : json.reason();
  }
  return JsonResult::Failure(reason);
}

CtlExit Unreachable(const Context& context, const std::string& reason) {
  context.m_err << "hemlockctl: " << reason << "\n";
  return CtlExit::kUnreachable;
}

void PrintRow(std::ostream& out, const std::vector<std::string>& cells) {
  static const std::vector<int> widths = {14, 12, 16, 14, 9, 7, 9, 7, 7, 7};
  for (std::size_t i = 0; i < cells.size(); ++i) {
    const int width = i < widths.size() ? widths[i] : 10;
    out << std::left << std::setw(width) << cells[i] << ' ';
  }
  out << "\n";
}

std::string Text(const ordered_json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

CtlExit Members(Context& context) {
  const auto members = GetMembers(context);
  if (!members) {
    return Unreachable(context, members.reason());
  }
  if (context.m_options.m_json) {
    context.m_out << members->dump(2) << "\n";
    return CtlExit::kDone;
  }
  PrintRow(context.m_out, {"NODE", "REGION", "DOMAIN", "SERVICE", "SLOTS",
                           "POLICY", "LEAVING"});
  for (const auto& member : *members) {
    PrintRow(context.m_out,
             {Text(member["node"]), Text(member["region"]),
              Text(member["failure_domain"]), Text(member["service"]),
              Text(member["slots"]), Text(member["policy_revision"]),
              Text(member["leaving"])});
  }
  return CtlExit::kDone;
}

// The operator listener of each member, by node name.
std::map<std::string, Endpoint> AdminEndpoints(const ordered_json& members) {
  std::map<std::string, Endpoint> endpoints;
  for (const auto& member : members) {
    const auto endpoint = ParseEndpoint(Text(member["admin"]));
    if (endpoint) {
      endpoints[Text(member["node"])] = *endpoint;
    }
  }
  return endpoints;
}

CtlExit Status(Context& context) {
  const auto members = GetMembers(context);
  if (!members) {
    return Unreachable(context, members.reason());
  }
  ordered_json all = ordered_json::array();
  for (const auto& [node, endpoint] : AdminEndpoints(*members)) {
    const auto status = GetJson(context, endpoint, "/hemlock/v1/status");
    all.push_back(
        status ? *status
               : ordered_json{{"node", node}, {"error", status.reason()}});
  }
  if (context.m_options.m_json) {
    context.m_out << all.dump(2) << "\n";
    return CtlExit::kDone;
  }
  PrintRow(context.m_out, {"NODE", "SERVICE", "CONTROL", "POLICY", "IN FLIGHT",
                           "QUEUED", "LIMIT", "SLOTS", "SHED>", "LEAVING"});
  for (const auto& status : all) {
    if (status.contains("error")) {
      context.m_out << Text(status["node"]) << ": " << Text(status["error"])
                    << "\n";
      continue;
    }
    const auto& target = status["target"];
    PrintRow(context.m_out,
             {Text(status["node"]), Text(target["service"]),
              Text(status["control_host"]), Text(status["policy_revision"]),
              Text(target["in_flight"]), Text(target["queued"]),
              Text(target["limit"]), Text(target["slots"]),
              Text(target["shed_threshold"]), Text(status["leaving"])});
  }
  return CtlExit::kDone;
}

// Follows a request from the node that its id names to every hop that a
// decision points to.
std::vector<ordered_json> CollectDecisions(
    const Context& context,
    const std::string& id,
    const std::map<std::string, Endpoint>& endpoints) {
  std::vector<ordered_json> decisions;
  std::set<std::string> asked;
  std::vector<std::string> to_ask = {id.substr(0, id.rfind('-'))};
  while (!to_ask.empty() && asked.size() < kMaxExplainedNodes) {
    const std::string node = to_ask.back();
    to_ask.pop_back();
    const auto endpoint = endpoints.find(node);
    if (!asked.insert(node).second || endpoint == endpoints.end()) {
      continue;
    }
    const auto json =
        GetJson(context, endpoint->second,
                "/hemlock/v1/explain?request_id=" + PercentEncode(id));
    if (!json) {
      context.m_err << "hemlockctl: " << json.reason() << "\n";
      continue;
    }
    for (const auto& decision : (*json)["decisions"]) {
      ordered_json entry = decision;
      entry["at"] = node;
      decisions.push_back(entry);
      to_ask.push_back(Text(decision["target"]));
      to_ask.push_back(Text(decision["refusal"]["node"]));
    }
  }
  std::stable_sort(
      decisions.begin(), decisions.end(),
      [](const auto& a, const auto& b) { return a["unix_ms"] < b["unix_ms"]; });
  return decisions;
}

void PrintDecision(std::ostream& out, const ordered_json& decision) {
  const ordered_json& refusal = decision["refusal"];
  out << Text(decision["hop"]) << " at " << Text(decision["at"]) << ": "
      << Text(decision["method"]) << ' ' << Text(decision["service"])
      << Text(decision["path"]);
  if (!Text(decision["class"]).empty()) {
    out << " (class " << Text(decision["class"]) << ")";
  }
  out << " " << Text(decision["action"]) << "\n    " << Text(refusal["outcome"])
      << ", decided by " << Text(refusal["decided_by"]) << " at "
      << Text(refusal["node"]) << ": " << Text(refusal["reason"]);
  if (refusal.contains("rule")) {
    out << ", rule " << Text(refusal["section"]) << "/" << Text(refusal["rule"])
        << " of policy revision " << Text(refusal["policy_revision"]);
  } else {
    out << ", " << Text(refusal["signal"]) << " = " << Text(refusal["value"])
        << " against " << Text(refusal["bound"]);
  }
  out << "\n";
}

CtlExit Explain(Context& context) {
  if (context.m_options.m_arguments.size() != 1) {
    context.m_err << "usage: hemlockctl explain REQUEST_ID\n";
    return CtlExit::kUsage;
  }
  const std::string& id = context.m_options.m_arguments.front();
  const auto members = GetMembers(context);
  if (!members) {
    return Unreachable(context, members.reason());
  }
  const auto decisions =
      CollectDecisions(context, id, AdminEndpoints(*members));
  if (context.m_options.m_json) {
    context.m_out << ordered_json(decisions).dump(2) << "\n";
  } else {
    for (const ordered_json& decision : decisions) {
      PrintDecision(context.m_out, decision);
    }
  }
  if (decisions.empty()) {
    context.m_err << "hemlockctl: no node remembers a decision about " << id
                  << "; it was answered, or is too long ago\n";
    return CtlExit::kRefused;
  }
  return CtlExit::kDone;
}

const std::map<std::string, Command>& Commands() {
  static const std::map<std::string, Command> commands = {
      {"explain", Explain}, {"members", Members}, {"status", Status}};
  return commands;
}

}  // namespace

CtlExit RunCommand(const std::string& name,
                   const CtlOptions& options,
                   const AdminClient& client,
                   std::ostream& out,
                   std::ostream& err) {
  const auto command = Commands().find(name);
  if (command == Commands().end()) {
    err << "hemlockctl: unknown command: " << name << "\n";
    return CtlExit::kUsage;
  }
  Context context{options, client, out, err};
  return command->second(context);
}

std::vector<std::string> CommandNames() {
  std::vector<std::string> names;
  for (const auto& [name, command] : Commands()) {
    names.push_back(name);
  }
  return names;
}

}  // namespace hemlockpoint
