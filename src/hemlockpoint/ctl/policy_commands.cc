#include "hemlockpoint/ctl/policy_commands.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>

#include "hemlockpoint/policy/policy.h"

namespace hemlockpoint {

namespace {

using nlohmann::ordered_json;

constexpr unsigned kOk = 200;
constexpr unsigned kConflict = 409;
constexpr unsigned kUnavailable = 503;

Result<std::string> ReadInput(const std::string& file) {
  std::ostringstream text;
  if (file == "-") {
    text << std::cin.rdbuf();
    return text.str();
  }
  std::ifstream input(file, std::ios::binary);
  if (!input) {
    return Result<std::string>::Failure(file + ": cannot be read");
  }
  text << input.rdbuf();
  return text.str();
}

CtlExitCode Usage(const CtlContext& context, const std::string& text) {
  context.m_err << "usage: hemlockctl " << text << "\n";
  return CtlExitCode::kUsage;
}

CtlExitCode Show(CtlContext& context) {
  const auto policy = GetFromLeader(context, "/hemlock/v1/policy");
  if (!policy) {
    return ReportUnreachable(context, policy.reason());
  }
  if (context.m_options.m_json) {
    context.m_out << policy->dump(2) << "\n";
    return CtlExitCode::kDone;
  }
  const std::string& wanted = context.m_options.m_section;
  bool found = wanted.empty();
  context.m_out << "# revision " << (*policy)["revision"] << "\n";
  for (const auto& [name, section] : (*policy)["sections"].items()) {
    if (wanted.empty() || wanted == name) {
      context.m_out << "# section " << name << ", revision "
                    << section["revision"] << "\n"
                    << TextOf(section["text"]);
      found = true;
    }
  }
  if (!found) {
    context.m_err << "hemlockctl: no section " << wanted << "\n";
    return CtlExitCode::kRefused;
  }
  return CtlExitCode::kDone;
}

CtlExitCode PrintFindings(const CtlContext& context, const Findings& findings) {
  if (context.m_options.m_json) {
    ordered_json list = ordered_json::array();
    for (const Finding& finding : findings.items()) {
      list.push_back({{"section", finding.m_location.m_source},
                      {"line", finding.m_location.m_line},
                      {"column", finding.m_location.m_column},
                      {"text", finding.m_text}});
    }
    context.m_out << ordered_json{{"findings", list}}.dump(2) << "\n";
  } else if (findings.empty()) {
    context.m_out << "the document is valid\n";
  } else {
    context.m_err << findings.ToText();
  }
  return findings.empty() ? CtlExitCode::kDone : CtlExitCode::kRefused;
}

// Checks a whole document without a control group, or one section together
// with the other sections in force.
CtlExitCode Check(CtlContext& context) {
  const auto text = ReadInput(context.m_options.m_file);
  if (!text) {
    context.m_err << "hemlockctl: " << text.reason() << "\n";
    return CtlExitCode::kUsage;
  }
  Findings findings;
  PolicyDocument document;
  const std::string& section = context.m_options.m_section;
  if (section.empty()) {
    document = SplitDocument(*text, context.m_options.m_file, findings);
  } else {
    const auto policy = GetFromLeader(context, "/hemlock/v1/policy");
    if (!policy) {
      return ReportUnreachable(context, policy.reason());
    }
    for (const auto& [name, entry] : (*policy)["sections"].items()) {
      document.m_sections[name].m_text = TextOf(entry["text"]);
    }
    document.m_sections[section].m_text = *text;
  }
  if (findings.empty()) {
    (void)CompilePolicy(document, findings);
  }
  return PrintFindings(context, findings);
}

CtlExitCode Diff(CtlContext& context) {
  const std::string& section = context.m_options.m_section;
  if (section.empty()) {
    return Usage(context, "policy diff --section NAME [--file FILE]");
  }
  const auto text = ReadInput(context.m_options.m_file);
  const auto policy = GetFromLeader(context, "/hemlock/v1/policy");
  if (!policy) {
    return ReportUnreachable(context, policy.reason());
  }
  if (!text) {
    context.m_err << "hemlockctl: " << text.reason() << "\n";
    return CtlExitCode::kUsage;
  }
  const auto& sections = (*policy)["sections"];
  const std::string before =
      sections.contains(section) ? TextOf(sections[section]["text"]) : "";
  context.m_out << DiffLines(before, *text);
  return before == *text ? CtlExitCode::kDone : CtlExitCode::kRefused;
}

CtlExitCode PrintChangeResult(const CtlContext& context,
                              const CtlResponse& reply) {
  const ordered_json& json = reply.m_json;
  if (context.m_options.m_json) {
    context.m_out << json.dump(2) << "\n";
  } else if (reply.m_status == kOk) {
    context.m_out << "accepted as revision " << json["revision"] << "\n";
  } else if (reply.m_status == kConflict && json.contains("winner")) {
    const ordered_json& winner = json["winner"];
    context.m_err << "conflict: the section is at revision " << json["revision"]
                  << ", changed by " << TextOf(winner["actor"])
                  << " with change " << TextOf(winner["change_id"]) << "\n";
  } else if (json.contains("findings")) {
    for (const auto& finding : json["findings"]) {
      context.m_err << TextOf(finding["section"]) << ":" << finding["line"]
                    << ":" << finding["column"] << ": "
                    << TextOf(finding["text"]) << "\n";
    }
  } else {
    context.m_err << "hemlockctl: " << TextOf(json["error"]) << "\n";
  }
  if (reply.m_status == kOk) {
    return CtlExitCode::kDone;
  }
  if (reply.m_status == kUnavailable) {
    return CtlExitCode::kUnreachable;
  }
  return reply.m_status == kConflict ? CtlExitCode::kConflict
                                     : CtlExitCode::kRefused;
}

CtlExitCode Apply(CtlContext& context) {
  const CtlOptions& options = context.m_options;
  if (options.m_section.empty() || options.m_change_id.empty() ||
      !options.m_base) {
    return Usage(context,
                 "policy apply --section NAME --base REVISION --change-id ID "
                 "[--actor NAME] [--file FILE]");
  }
  const auto text = ReadInput(options.m_file);
  if (!text) {
    context.m_err << "hemlockctl: " << text.reason() << "\n";
    return CtlExitCode::kUsage;
  }
  const ordered_json body = {{"section", options.m_section},
                             {"base", *options.m_base},
                             {"change_id", options.m_change_id},
                             {"actor", options.m_actor},
                             {"text", *text}};
  const auto reply =
      RequestFromLeader(context, "POST", "/hemlock/v1/policy/apply", body);
  if (!reply) {
    return ReportUnreachable(context, reply.reason());
  }
  return PrintChangeResult(context, *reply);
}

CtlExitCode History(CtlContext& context) {
  const auto json = GetFromLeader(context, "/hemlock/v1/policy/history");
  if (!json) {
    return ReportUnreachable(context, json.reason());
  }
  if (context.m_options.m_json) {
    context.m_out << json->dump(2) << "\n";
    return CtlExitCode::kDone;
  }
  const std::vector<int> widths = {9, 16, 24, 16};
  PrintRow(context.m_out, widths, {"REVISION", "SECTION", "CHANGE", "ACTOR"});
  for (const auto& entry : (*json)["history"]) {
    PrintRow(context.m_out, widths,
             {TextOf(entry["revision"]), TextOf(entry["section"]),
              TextOf(entry["change_id"]), TextOf(entry["actor"])});
  }
  return CtlExitCode::kDone;
}

CtlExitCode Status(CtlContext& context) {
  const auto json = GetFromLeader(context, "/hemlock/v1/policy/status");
  if (!json) {
    return ReportUnreachable(context, json.reason());
  }
  bool lags = false;
  for (const auto& node : (*json)["nodes"]) {
    lags = lags || node["lags"].get<bool>();
  }
  if (context.m_options.m_json) {
    context.m_out << json->dump(2) << "\n";
    return lags ? CtlExitCode::kRefused : CtlExitCode::kDone;
  }
  const std::vector<int> widths = {16, 10, 6};
  context.m_out << "revision " << (*json)["revision"] << "\n";
  PrintRow(context.m_out, widths, {"NODE", "IN FORCE", "LAGS"});
  for (const auto& node : (*json)["nodes"]) {
    PrintRow(
        context.m_out, widths,
        {TextOf(node["node"]), TextOf(node["revision"]), TextOf(node["lags"])});
  }
  return lags ? CtlExitCode::kRefused : CtlExitCode::kDone;
}

std::vector<std::string> SplitLines(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream input(text);
  std::string line;
  while (std::getline(input, line)) {
    lines.push_back(line);
  }
  return lines;
}

}  // namespace

const std::map<std::string, CtlCommand>& PolicyCommands() {
  static const std::map<std::string, CtlCommand> commands = {
      {"policy show", Show},       {"policy check", Check},
      {"policy diff", Diff},       {"policy apply", Apply},
      {"policy history", History}, {"policy status", Status}};
  return commands;
}

std::string DiffLines(const std::string& before, const std::string& after) {
  const std::vector<std::string> a = SplitLines(before);
  const std::vector<std::string> b = SplitLines(after);
  // common[i][j]: length of the longest common part of a[i..] and b[j..].
  std::vector<std::vector<std::uint32_t>> common(
      a.size() + 1, std::vector<std::uint32_t>(b.size() + 1));
  for (std::size_t i = a.size(); i-- > 0;) {
    for (std::size_t j = b.size(); j-- > 0;) {
      common[i][j] = a[i] == b[j]
                         ? common[i + 1][j + 1] + 1
                         : std::max(common[i + 1][j], common[i][j + 1]);
    }
  }
  std::string text;
  std::size_t i = 0;
  std::size_t j = 0;
  while (i < a.size() || j < b.size()) {
    if (i < a.size() && j < b.size() && a[i] == b[j]) {
      text += "  " + a[i] + "\n";
      ++i;
      ++j;
    } else if (j == b.size() ||
               (i < a.size() && common[i + 1][j] >= common[i][j + 1])) {
      text += "- " + a[i++] + "\n";
    } else {
      text += "+ " + b[j++] + "\n";
    }
  }
  return text;
}

}  // namespace hemlockpoint
