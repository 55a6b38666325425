#include "hemlockpoint/ctl/control_commands.h"

#include <iostream>

namespace hemlockpoint {

namespace {

using nlohmann::ordered_json;

constexpr unsigned kOk = 200;

CtlExitCode PrintOperationResult(const CtlContext& context,
                                 const Result<CtlResponse>& reply) {
  if (!reply) {
    return ReportUnreachable(context, reply.reason());
  }
  if (context.m_options.m_json) {
    context.m_out << reply->m_json.dump(2) << "\n";
  } else if (reply->m_status == kOk) {
    context.m_out << "done\n";
  } else {
    context.m_err << "hemlockctl: " << TextOf(reply->m_json["error"]) << "\n";
  }
  return reply->m_status == kOk ? CtlExitCode::kDone : CtlExitCode::kRefused;
}

CtlExitCode Status(CtlContext& context) {
  bool any = false;
  for (const Endpoint& node : context.m_options.m_nodes) {
    const auto json = GetJson(context, node, "/hemlock/v1/control");
    if (!json) {
      context.m_err << "hemlockctl: " << json.reason() << "\n";
      continue;
    }
    any = true;
    if (context.m_options.m_json) {
      context.m_out << json->dump(2) << "\n";
      continue;
    }
    context.m_out << ToText(node) << ": " << TextOf((*json)["role"])
                  << ", term " << (*json)["term"] << ", commit "
                  << (*json)["commit"] << ", journal "
                  << (*json)["journal_bytes"] << " bytes\n";
    const std::vector<int> widths = {16, 18, 22, 6, 6};
    PrintRow(context.m_out, widths,
             {"HOST", "INSTANCE", "PEER", "VOTER", "LEADS"});
    for (const auto& member : (*json)["members"]) {
      PrintRow(context.m_out, widths,
               {TextOf(member["node"]), TextOf(member["instance"]),
                TextOf(member["peer"]), TextOf(member["voter"]),
                TextOf(member["leads"])});
    }
  }
  return any ? CtlExitCode::kDone : CtlExitCode::kUnreachable;
}

CtlExitCode Init(CtlContext& context) {
  return PrintOperationResult(
      context, RequestFromLeader(context, "POST", "/hemlock/v1/control/init",
                                 ordered_json::object()));
}

CtlExitCode Add(CtlContext& context) {
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

CtlExitCode Remove(CtlContext& context) {
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
             {TextOf(row["fingerprint"]), TextOf(row["state"]),
              TextOf(row["ms_left"])});
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
      {"control status", Status},
      {"control init", Init},
      {"control add", Add},
      {"control remove", Remove},
      {"quarantine list", ListQuarantine},
      {"quarantine lift", LiftQuarantine}};
  return commands;
}

}  // namespace hemlockpoint
