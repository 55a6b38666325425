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

// Maximum number of nodes that one "explain" command queries.
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

CtlExitCode ShowMembers(CtlContext& context) {
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
             {ToDisplayText(member["node"]), ToDisplayText(member["region"]),
              ToDisplayText(member["failure_domain"]),
              ToDisplayText(member["service"]), ToDisplayText(member["slots"]),
              ToDisplayText(member["policy_revision"]),
              ToDisplayText(member["leaving"])});
  }
  return CtlExitCode::kDone;
}

// Returns the admin endpoint of each member by node name.
std::map<std::string, Endpoint> AdminEndpoints(const ordered_json& members) {
  std::map<std::string, Endpoint> endpoints;
  for (const auto& member : members) {
    const auto endpoint = ParseEndpoint(ToDisplayText(member["admin"]));
    if (endpoint) {
      endpoints[ToDisplayText(member["node"])] = *endpoint;
    }
  }
  return endpoints;
}

CtlExitCode ShowNodeStatus(CtlContext& context) {
  const auto members = GetMembers(context);
  if (!members) {
    return ReportUnreachable(context, members.reason());
  }
  ordered_json statuses = ordered_json::array();
  for (const auto& [node, endpoint] : AdminEndpoints(*members)) {
    const auto status = GetJson(context, endpoint, "/hemlock/v1/status");
    statuses.push_back(
        status ? *status
               : ordered_json{{"node", node}, {"error", status.reason()}});
  }
  if (context.m_options.m_json) {
    context.m_out << statuses.dump(2) << "\n";
    return CtlExitCode::kDone;
  }
  PrintRow(context.m_out, ColumnWidths(),
           {"NODE", "SERVICE", "CONTROL", "POLICY", "IN FLIGHT", "QUEUED",
            "LIMIT", "SLOTS", "SHED>", "LEAVING"});
  for (const auto& status : statuses) {
    if (status.contains("error")) {
      context.m_out << ToDisplayText(status["node"]) << ": "
                    << ToDisplayText(status["error"]) << "\n";
      continue;
    }
    const auto& target = status["target"];
    PrintRow(
        context.m_out, ColumnWidths(),
        {ToDisplayText(status["node"]), ToDisplayText(target["service"]),
         ToDisplayText(status["control_host"]),
         ToDisplayText(status["policy_revision"]),
         ToDisplayText(target["in_flight"]), ToDisplayText(target["queued"]),
         ToDisplayText(target["limit"]), ToDisplayText(target["slots"]),
         ToDisplayText(target["shed_threshold"]),
         ToDisplayText(status["leaving"])});
  }
  return CtlExitCode::kDone;
}

// Collects the decisions about a request, oldest first. The request id starts
// with the name of the entry node; each decision names further nodes to query.
std::vector<ordered_json> CollectDecisions(
    const CtlContext& context,
    const std::string& request_id,
    const std::map<std::string, Endpoint>& endpoints) {
  std::vector<ordered_json> decisions;
  std::set<std::string> queried;
  std::vector<std::string> pending = {
      request_id.substr(0, request_id.rfind('-'))};
  while (!pending.empty() && queried.size() < kMaxQueriedNodes) {
    const std::string node = pending.back();
    pending.pop_back();
    const auto endpoint = endpoints.find(node);
    if (!queried.insert(node).second || endpoint == endpoints.end()) {
      continue;
    }
    const auto json =
        GetJson(context, endpoint->second,
                "/hemlock/v1/explain?request_id=" + PercentEncode(request_id));
    if (!json) {
      context.m_err << "hemlockctl: " << json.reason() << "\n";
      continue;
    }
    for (const auto& decision : (*json)["decisions"]) {
      ordered_json entry = decision;
      entry["at"] = node;
      decisions.push_back(entry);
      pending.push_back(ToDisplayText(decision["target"]));
      pending.push_back(ToDisplayText(decision["refusal"]["node"]));
    }
  }
  std::stable_sort(
      decisions.begin(), decisions.end(),
      [](const auto& a, const auto& b) { return a["unix_ms"] < b["unix_ms"]; });
  return decisions;
}

void PrintDecision(std::ostream& out, const ordered_json& decision) {
  const ordered_json& refusal = decision["refusal"];
  out << ToDisplayText(decision["hop"]) << " at "
      << ToDisplayText(decision["at"]) << ": "
      << ToDisplayText(decision["method"]) << ' '
      << ToDisplayText(decision["service"]) << ToDisplayText(decision["path"]);
  if (!ToDisplayText(decision["class"]).empty()) {
    out << " (class " << ToDisplayText(decision["class"]) << ")";
  }
  out << " " << ToDisplayText(decision["action"]) << "\n    "
      << ToDisplayText(refusal["outcome"]) << ", decided by "
      << ToDisplayText(refusal["decided_by"]) << " at "
      << ToDisplayText(refusal["node"]) << ": "
      << ToDisplayText(refusal["reason"]);
  if (refusal.contains("rule")) {
    out << ", rule " << ToDisplayText(refusal["section"]) << "/"
        << ToDisplayText(refusal["rule"]) << " of policy revision "
        << ToDisplayText(refusal["policy_revision"]);
  } else {
    out << ", " << ToDisplayText(refusal["signal"]) << " = "
        << ToDisplayText(refusal["value"]) << " against "
        << ToDisplayText(refusal["bound"]);
  }
  out << "\n";
}

CtlExitCode ExplainRequest(CtlContext& context) {
  if (context.m_options.m_arguments.size() != 1) {
    context.m_err << "usage: hemlockctl explain REQUEST_ID\n";
    return CtlExitCode::kUsage;
  }
  const std::string& request_id = context.m_options.m_arguments.front();
  const auto members = GetMembers(context);
  if (!members) {
    return ReportUnreachable(context, members.reason());
  }
  const auto decisions =
      CollectDecisions(context, request_id, AdminEndpoints(*members));
  if (context.m_options.m_json) {
    context.m_out << ordered_json(decisions).dump(2) << "\n";
  } else {
    for (const ordered_json& decision : decisions) {
      PrintDecision(context.m_out, decision);
    }
  }
  if (decisions.empty()) {
    context.m_err << "hemlockctl: no node has a stored decision about "
                  << request_id
                  << "; it was not refused, or its decisions were dropped\n";
    return CtlExitCode::kRefused;
  }
  return CtlExitCode::kDone;
}

const std::map<std::string, CtlCommand>& Commands() {
  static const std::map<std::string, CtlCommand> commands = [] {
    std::map<std::string, CtlCommand> all = {{"explain", ExplainRequest},
                                             {"members", ShowMembers},
                                             {"status", ShowNodeStatus}};
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
