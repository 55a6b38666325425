#ifndef HEMLOCKPOINT_CTL_REPORT_COMMANDS_H_
#define HEMLOCKPOINT_CTL_REPORT_COMMANDS_H_

#include <map>
#include <string>

#include "hemlockpoint/ctl/command.h"

namespace hemlockpoint {

/// @return The reports over all nodes, by name.
[[nodiscard]] const std::map<std::string, CtlCommand>& ReportCommands();

/// @brief Adds up the burn rows of several nodes by service, class and
/// objective.
/// @param nodes One array of rows for each node.
/// @return One row each, with a "burn" for every window.
[[nodiscard]] nlohmann::ordered_json MergeBurnRates(
    const std::vector<nlohmann::ordered_json>& nodes);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CTL_REPORT_COMMANDS_H_
