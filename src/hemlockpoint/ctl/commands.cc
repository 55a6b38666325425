#include "hemlockpoint/ctl/commands.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <set>

#include "hemlockpoint/ctl/control_commands.h"
#include "hemlockpoint/ctl/policy_commands.h"
#include "hemlockpoint/ctl/report_commands.h"

namespace hemlockpoint {

namespace {

using nlohmann::ordered_json;

// Hops that one explanation follows at most.
constexpr std::size_t kMaxQueriedNodes = 64;

const std::vector<int>& ColumnWidths() {
  static const std::vector<int> widths = {14, 12, 16, 14, 9, 7, 9, 7, 7, 7};
  return widths;
}

Result<ordered_json> GetMembers(const CtlContext& context) {
  auto json = GetFromLeader(context, "/hemlock/v1/members");
  if (!json) {
    return json;
  }
  return ordered_json((*json)["members"]);
}

CtlExitCode Members(CtlContext& context) {
  const auto members = GetMembers(context);
  if (!members) {
    return ReportUnreachable(context, members.reason());
  }
  if (context.m_options.m_json) {
    context.m_out << members->dump(2) << "\n";
    return CtlExitCode::kDone;
  }
  PrintRow(
      context.m_out, ColumnWidths(),
      {"NODE", "REGION", "DOMAIN", "SERVICE", "SLOTS", "POLICY", "LEAVING"});
  for (const auto& member : *members) {
    PrintRow(context.m_out, ColumnWidths(),
             {TextOf(member["node"]), TextOf(member["region"]),
              TextOf(member["failure_domain"]), TextOf(member["service"]),
              TextOf(member["slots"]), TextOf(member["policy_revision"]),
              TextOf(member["leaving"])});
  }
  return CtlExitCode::kDone;
}

// The operator listener of each member, by node name.
std::map<std::string, Endpoint> AdminEndpoints(const ordered_json& members) {
  std::map<std::string, Endpoint> endpoints;
  for (const auto& member : members) {
    const auto endpoint = ParseEndpoint(TextOf(member["admin"]));
    if (endpoint) {
      endpoints[TextOf(member["node"])] = *endpoint;
    }
  }
  return endpoints;
}

CtlExitCode Status(CtlContext& context) {
  const auto members = GetMembers(context);
  if (!members) {
    return ReportUnreachable(context, members.reason());
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
    return CtlExitCode::kDone;
  }
  PrintRow(context.m_out, ColumnWidths(),
           {"NODE", "SERVICE", "CONTROL", "POLICY", "IN FLIGHT", "QUEUED",
            "LIMIT", "SLOTS", "SHED>", "LEAVING"});
  for (const auto& status : all) {
    if (status.contains("error")) {
      context.m_out << TextOf(status["node"]) << ": " << TextOf(status["error"])
                    << "\n";
      continue;
    }
    const auto& target = status["target"];
    PrintRow(context.m_out, ColumnWidths(),
             {TextOf(status["node"]), TextOf(target["service"]),
              TextOf(status["control_host"]), TextOf(status["policy_revision"]),
              TextOf(target["in_flight"]), TextOf(target["queued"]),
              TextOf(target["limit"]), TextOf(target["slots"]),
              TextOf(target["shed_threshold"]), TextOf(status["leaving"])});
  }
  return CtlExitCode::kDone;
}

// Follows a request from the node that its id names to every hop that a
// decision points to.
std::vector<ordered_json> CollectDecisions(
    const CtlContext& context,
    const std::string& id,
    const std::map<std::string, Endpoint>& endpoints) {
  std::vector<ordered_json> decisions;
  std::set<std::string> asked;
  std::vector<std::string> to_ask = {id.substr(0, id.rfind('-'))};
  while (!to_ask.empty() && asked.size() < kMaxQueriedNodes) {
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
      to_ask.push_back(TextOf(decision["target"]));
      to_ask.push_back(TextOf(decision["refusal"]["node"]));
    }
  }
  std::stable_sort(
      decisions.begin(), decisions.end(),
      [](const auto& a, const auto& b) { return a["unix_ms"] < b["unix_ms"]; });
  return decisions;
}

void PrintDecision(std::ostream& out, const ordered_json& decision) {
  const ordered_json& refusal = decision["refusal"];
  out << TextOf(decision["hop"]) << " at " << TextOf(decision["at"]) << ": "
      << TextOf(decision["method"]) << ' ' << TextOf(decision["service"])
      << TextOf(decision["path"]);
  if (!TextOf(decision["class"]).empty()) {
    out << " (class " << TextOf(decision["class"]) << ")";
  }
  out << " " << TextOf(decision["action"]) << "\n    "
      << TextOf(refusal["outcome"]) << ", decided by "
      << TextOf(refusal["decided_by"]) << " at " << TextOf(refusal["node"])
      << ": " << TextOf(refusal["reason"]);
  if (refusal.contains("rule")) {
    out << ", rule " << TextOf(refusal["section"]) << "/"
        << TextOf(refusal["rule"]) << " of policy revision "
        << TextOf(refusal["policy_revision"]);
  } else {
    out << ", " << TextOf(refusal["signal"]) << " = "
        << TextOf(refusal["value"]) << " against " << TextOf(refusal["bound"]);
  }
  out << "\n";
}

CtlExitCode Explain(CtlContext& context) {
  if (context.m_options.m_arguments.size() != 1) {
    context.m_err << "usage: hemlockctl explain REQUEST_ID\n";
    return CtlExitCode::kUsage;
  }
  const std::string& id = context.m_options.m_arguments.front();
  const auto members = GetMembers(context);
  if (!members) {
    return ReportUnreachable(context, members.reason());
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
    return CtlExitCode::kRefused;
  }
  return CtlExitCode::kDone;
}

const std::map<std::string, CtlCommand>& Commands() {
  static const std::map<std::string, CtlCommand> commands = [] {
    std::map<std::string, CtlCommand> all = {
        {"explain", Explain}, {"members", Members}, {"status", Status}};
    all.insert(PolicyCommands().begin(), PolicyCommands().end());
    all.insert(ControlCommands().begin(), ControlCommands().end());
    all.insert(ReportCommands().begin(), ReportCommands().end());
    return all;
  }();
  return commands;
}

}  // namespace

CtlExitCode RunCommand(const std::string& name,
                       const CtlOptions& options,
                       const AdminClient& client,
                       std::ostream& out,
                       std::ostream& err) {
  const auto command = Commands().find(name);
  if (command == Commands().end()) {
    err << "hemlockctl: unknown command: " << name << "\n";
    return CtlExitCode::kUsage;
  }
  CtlContext context{options, client, out, err};
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
