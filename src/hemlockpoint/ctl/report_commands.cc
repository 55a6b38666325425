#include "hemlockpoint/ctl/report_commands.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <iostream>

namespace hemlockpoint {

namespace {

using nlohmann::ordered_json;

std::string FormatNumber(double value) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.2f", value);
  return text.data();
}

double BurnRateOf(const ordered_json& window, double good_share) {
  const double total = window["total"].get<double>();
  const double bad = window["bad"].get<double>();
  return total == 0 ? 0 : bad / total / (1 - good_share);
}

void AccumulateRow(ordered_json& sum_row, const ordered_json& row) {
  sum_row["answers"] = sum_row["answers"].get<std::uint64_t>() +
                       row["answers"].get<std::uint64_t>();
  // The quantiles of single nodes can't be combined to one over all nodes, so
  // the highest is reported.
  sum_row["p99_ms"] =
      std::max(sum_row["p99_ms"].get<double>(), row["p99_ms"].get<double>());
  for (std::size_t i = 0; i < row["windows"].size(); ++i) {
    for (const char* field : {"total", "bad"}) {
      ordered_json& sum = sum_row["windows"][i][field];
      sum = sum.get<std::uint64_t>() +
            row["windows"][i][field].get<std::uint64_t>();
    }
  }
}

CtlExitCode ShowBurnRates(CtlContext& context) {
  const auto members = GetFromLeader(context, "/hemlock/v1/members");
  if (!members) {
    return ReportUnreachable(context, members.reason());
  }
  std::vector<ordered_json> nodes;
  for (const auto& member : (*members)["members"]) {
    const auto admin = ParseEndpoint(ToDisplayText(member["admin"]));
    if (!admin) {
      continue;
    }
    const auto rows = GetJson(context, *admin, "/hemlock/v1/burn");
    if (rows) {
      nodes.push_back(*rows);
    } else {
      context.m_err << "hemlockctl: " << rows.reason() << "\n";
    }
  }
  const ordered_json report = MergeBurnRates(nodes);
  if (context.m_options.m_json) {
    context.m_out << report.dump(2) << "\n";
    return CtlExitCode::kDone;
  }
  const std::vector<int> widths = {14, 12, 20, 8, 10, 10, 10, 10};
  PrintRow(context.m_out, widths,
           {"SERVICE", "CLASS", "OBJECTIVE", "GOOD", "BURN 5M", "BURN 1H",
            "BURN 6H", "P99 MS"});
  for (const auto& row : report) {
    PrintRow(
        context.m_out, widths,
        {ToDisplayText(row["service"]), ToDisplayText(row["class"]),
         ToDisplayText(row["objective"]), ToDisplayText(row["good_share"]),
         FormatNumber(row["windows"][0]["burn"]),
         FormatNumber(row["windows"][1]["burn"]),
         FormatNumber(row["windows"][2]["burn"]), FormatNumber(row["p99_ms"])});
  }
  return CtlExitCode::kDone;
}

}  // namespace

const std::map<std::string, CtlCommand>& ReportCommands() {
  static const std::map<std::string, CtlCommand> commands = {
      {"report burn", ShowBurnRates}};
  return commands;
}

ordered_json MergeBurnRates(const std::vector<ordered_json>& nodes) {
  std::map<std::string, ordered_json> merged;
  for (const ordered_json& rows : nodes) {
    for (const auto& row : rows) {
      const std::string key = ToDisplayText(row["service"]) + " " +
                              ToDisplayText(row["class"]) + " " +
                              ToDisplayText(row["objective"]);
      const auto existing = merged.find(key);
      if (existing == merged.end()) {
        merged[key] = row;
      } else {
        AccumulateRow(existing->second, row);
      }
    }
  }
  ordered_json report = ordered_json::array();
  for (auto& [key, row] : merged) {
    for (auto& window : row["windows"]) {
      window["burn"] = BurnRateOf(window, row["good_share"].get<double>());
    }
    report.push_back(row);
  }
  return report;
}

}  // namespace hemlockpoint
