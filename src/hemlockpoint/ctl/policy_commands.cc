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

CtlExitCode PrintUsageError(const CtlContext& context,
                            const std::string& text) {
  context.m_err << "usage: hemlockctl " << text << "\n";
  return CtlExitCode::kUsage;
}

CtlExitCode ShowPolicy(CtlContext& context) {
  const auto policy = GetFromLeader(context, "/hemlock/v1/policy");
  if (!policy) {
    return ReportUnreachable(context, policy.reason());
  }
  if (context.m_options.m_json) {
    context.m_out << policy->dump(2) << "\n";
    return CtlExitCode::kDone;
  }
  const std::string& section_name = context.m_options.m_section;
  bool found = section_name.empty();
  context.m_out << "# revision " << (*policy)["revision"] << "\n";
  for (const auto& [name, section] : (*policy)["sections"].items()) {
    if (section_name.empty() || section_name == name) {
      context.m_out << "# section " << name << ", revision "
                    << section["revision"] << "\n"
                    << ToDisplayText(section["text"]);
      found = true;
    }
  }
  if (!found) {
    context.m_err << "hemlockctl: no section " << section_name << "\n";
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

// Validates a policy document. Without --section, the input is a whole document
// and no control group is needed. With --section, the input replaces that
// section of the document in force.
CtlExitCode CheckPolicy(CtlContext& context) {
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
      document.m_sections[name].m_text = ToDisplayText(entry["text"]);
    }
    document.m_sections[section].m_text = *text;
  }
  if (findings.empty()) {
    (void)CompilePolicy(document, findings);
  }
  return PrintFindings(context, findings);
}

CtlExitCode DiffSection(CtlContext& context) {
  const std::string& section = context.m_options.m_section;
  if (section.empty()) {
    return PrintUsageError(context, "policy diff --section NAME [--file FILE]");
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
  const std::string before = sections.contains(section)
                                 ? ToDisplayText(sections[section]["text"])
                                 : "";
  context.m_out << DiffLines(before, *text);
  return before == *text ? CtlExitCode::kDone : CtlExitCode::kRefused;
}

CtlExitCode PrintChangeResult(const CtlContext& context,
                              const CtlResponse& response) {
  const ordered_json& json = response.m_json;
  if (context.m_options.m_json) {
    context.m_out << json.dump(2) << "\n";
  } else if (response.m_status == kOk) {
    context.m_out << "accepted as revision " << json["revision"] << "\n";
  } else if (response.m_status == kConflict && json.contains("winner")) {
    const ordered_json& winner = json["winner"];
    context.m_err << "conflict: the section is at revision " << json["revision"]
                  << ", changed by " << ToDisplayText(winner["actor"])
                  << " with change " << ToDisplayText(winner["change_id"])
                  << "\n";
  } else if (json.contains("findings")) {
    for (const auto& finding : json["findings"]) {
      context.m_err << ToDisplayText(finding["section"]) << ":"
                    << finding["line"] << ":" << finding["column"] << ": "
                    << ToDisplayText(finding["text"]) << "\n";
    }
  } else {
    context.m_err << "hemlockctl: " << ToDisplayText(json["error"]) << "\n";
  }
  if (response.m_status == kOk) {
    return CtlExitCode::kDone;
  }
  if (response.m_status == kUnavailable) {
    return CtlExitCode::kUnreachable;
  }
  return response.m_status == kConflict ? CtlExitCode::kConflict
                                        : CtlExitCode::kRefused;
}

CtlExitCode ApplySection(CtlContext& context) {
  const CtlOptions& options = context.m_options;
  if (options.m_section.empty() || options.m_change_id.empty() ||
      !options.m_base) {
    return PrintUsageError(
        context,
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
  const auto response =
      RequestFromLeader(context, "POST", "/hemlock/v1/policy/apply", body);
  if (!response) {
    return ReportUnreachable(context, response.reason());
  }
  return PrintChangeResult(context, *response);
}

CtlExitCode ShowHistory(CtlContext& context) {
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
    PrintRow(
        context.m_out, widths,
        {ToDisplayText(entry["revision"]), ToDisplayText(entry["section"]),
         ToDisplayText(entry["change_id"]), ToDisplayText(entry["actor"])});
  }
  return CtlExitCode::kDone;
}

CtlExitCode ShowPolicyStatus(CtlContext& context) {
  const auto json = GetFromLeader(context, "/hemlock/v1/policy/status");
  if (!json) {
    return ReportUnreachable(context, json.reason());
  }
  bool has_lagging_node = false;
  for (const auto& node : (*json)["nodes"]) {
    has_lagging_node = has_lagging_node || node["lags"].get<bool>();
  }
  if (context.m_options.m_json) {
    context.m_out << json->dump(2) << "\n";
    return has_lagging_node ? CtlExitCode::kRefused : CtlExitCode::kDone;
  }
  const std::vector<int> widths = {16, 10, 6};
  context.m_out << "revision " << (*json)["revision"] << "\n";
  PrintRow(context.m_out, widths, {"NODE", "IN FORCE", "LAGS"});
  for (const auto& node : (*json)["nodes"]) {
    PrintRow(context.m_out, widths,
             {ToDisplayText(node["node"]), ToDisplayText(node["revision"]),
              ToDisplayText(node["lags"])});
  }
  return has_lagging_node ? CtlExitCode::kRefused : CtlExitCode::kDone;
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
      {"policy show", ShowPolicy},     {"policy check", CheckPolicy},
      {"policy diff", DiffSection},    {"policy apply", ApplySection},
      {"policy history", ShowHistory}, {"policy status", ShowPolicyStatus}};
  return commands;
}

std::string DiffLines(const std::string& before, const std::string& after) {
  const std::vector<std::string> a = SplitLines(before);
  const std::vector<std::string> b = SplitLines(after);
  // lcs_length[i][j] is the length of the longest common subsequence of a[i..]
  // and b[j..].
  std::vector<std::vector<std::uint32_t>> lcs_length(
      a.size() + 1, std::vector<std::uint32_t>(b.size() + 1));
  for (std::size_t i = a.size(); i-- > 0;) {
    for (std::size_t j = b.size(); j-- > 0;) {
      lcs_length[i][j] =
          a[i] == b[j] ? lcs_length[i + 1][j + 1] + 1
                       : std::max(lcs_length[i + 1][j], lcs_length[i][j + 1]);
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
               (i < a.size() && lcs_length[i + 1][j] >= lcs_length[i][j + 1])) {
      text += "- " + a[i++] + "\n";
    } else {
      text += "+ " + b[j++] + "\n";
    }
  }
  return text;
}

}  // namespace hemlockpoint
