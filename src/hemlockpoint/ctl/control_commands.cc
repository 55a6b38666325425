#include "hemlockpoint/ctl/control_commands.h"

#include <iostream>

namespace hemlockpoint {

namespace {

using nlohmann::ordered_json;

constexpr unsigned kOk = 200;

CtlExitCode PrintOperationResult(const CtlContext& context,
                                 const Result<CtlResponse>& response) {
  if (!response) {
    return ReportUnreachable(context, response.reason());
  }
  if (context.m_options.m_json) {
    context.m_out << response->m_json.dump(2) << "\n";
  } else if (response->m_status == kOk) {
    context.m_out << "done\n";
  } else {
    context.m_err << "hemlockctl: " << ToDisplayText(response->m_json["error"])
                  << "\n";
  }
  return response->m_status == kOk ? CtlExitCode::kDone : CtlExitCode::kRefused;
}

CtlExitCode ShowControlStatus(CtlContext& context) {
  bool has_response = false;
  for (const Endpoint& node : context.m_options.m_nodes) {
    const auto json = GetJson(context, node, "/hemlock/v1/control");
    if (!json) {
      context.m_err << "hemlockctl: " << json.reason() << "\n";
      continue;
    }
    has_response = true;
    if (context.m_options.m_json) {
      context.m_out << json->dump(2) << "\n";
      continue;
    }
    context.m_out << ToText(node) << ": " << ToDisplayText((*json)["role"])
                  << ", term " << (*json)["term"] << ", commit "
                  << (*json)["commit"] << ", journal "
                  << (*json)["journal_bytes"] << " bytes\n";
    const std::vector<int> widths = {16, 18, 22, 6, 6};
    PrintRow(context.m_out, widths,
             {"HOST", "INSTANCE", "PEER", "VOTER", "LEADS"});
    for (const auto& member : (*json)["members"]) {
      PrintRow(
          context.m_out, widths,
          {ToDisplayText(member["node"]), ToDisplayText(member["instance"]),
           ToDisplayText(member["peer"]), ToDisplayText(member["voter"]),
           ToDisplayText(member["leads"])});
    }
  }
  return has_response ? CtlExitCode::kDone : CtlExitCode::kUnreachable;
}

CtlExitCode InitControlGroup(CtlContext& context) {
  return PrintOperationResult(
      context, RequestFromLeader(context, "POST", "/hemlock/v1/control/init",
                                 ordered_json::object()));
}

CtlExitCode AddControlHost(CtlContext& context) {
  const CtlOptions& options = context.m_options;
  if (options.m_arguments.size() != 2) {
    context.m_err << "usage: hemlockctl control add NAME PEER_ADDRESS:PORT\n";
    return CtlExitCode::kUsage;
  }
  const ordered_json body = {{"node", options.m_arguments[0]},
                             {"peer", options.m_arguments[1]}};
  return PrintOperationResult(
      context,
      RequestFromLeader(context, "POST", "/hemlock/v1/control/add", body));
}

CtlExitCode RemoveControlHost(CtlContext& context) {
  const CtlOptions& options = context.m_options;
  if (options.m_arguments.size() != 1) {
    context.m_err << "usage: hemlockctl control remove NAME\n";
    return CtlExitCode::kUsage;
  }
  const ordered_json body = {{"node", options.m_arguments[0]}};
  return PrintOperationResult(
      context,
      RequestFromLeader(context, "POST", "/hemlock/v1/control/remove", body));
}

CtlExitCode ListQuarantine(CtlContext& context) {
  const auto json = GetFromLeader(context, "/hemlock/v1/quarantine");
  if (!json) {
    return ReportUnreachable(context, json.reason());
  }
  if (context.m_options.m_json) {
    context.m_out << json->dump(2) << "\n";
    return CtlExitCode::kDone;
  }
  const std::vector<int> widths = {18, 12, 12};
  PrintRow(context.m_out, widths, {"FINGERPRINT", "STATE", "MS LEFT"});
  for (const auto& row : (*json)["requests"]) {
    PrintRow(context.m_out, widths,
             {ToDisplayText(row["fingerprint"]), ToDisplayText(row["state"]),
              ToDisplayText(row["ms_left"])});
  }
  return CtlExitCode::kDone;
}

CtlExitCode LiftQuarantine(CtlContext& context) {
  const CtlOptions& options = context.m_options;
  if (options.m_arguments.size() != 1) {
    context.m_err << "usage: hemlockctl quarantine lift FINGERPRINT\n";
    return CtlExitCode::kUsage;
  }
  const ordered_json body = {{"fingerprint", options.m_arguments[0]}};
  return PrintOperationResult(
      context,
      RequestFromLeader(context, "POST", "/hemlock/v1/quarantine/lift", body));
}

}  // namespace

const std::map<std::string, CtlCommand>& ControlCommands() {
  static const std::map<std::string, CtlCommand> commands = {
      {"control status", ShowControlStatus},
      {"control init", InitControlGroup},
      {"control add", AddControlHost},
      {"control remove", RemoveControlHost},
      {"quarantine list", ListQuarantine},
      {"quarantine lift", LiftQuarantine}};
  return commands;
}

}  // namespace hemlockpoint
