#ifndef HEMLOCKPOINT_CTL_REPORT_COMMANDS_H_
#define HEMLOCKPOINT_CTL_REPORT_COMMANDS_H_

#include <map>
#include <string>

#include "hemlockpoint/ctl/command.h"

namespace hemlockpoint {

/// @return The commands for reports over all nodes, by name.
[[nodiscard]] const std::map<std::string, CtlCommand>& ReportCommands();

/// @brief Merges the rows of several nodes, as BurnRatesToJson() makes them, by
/// service, class and objective.
/// @param nodes One array of rows per node.
/// @return One row per service, class and objective, with the burn rate of each
/// window in its field "burn".
[[nodiscard]] nlohmann::ordered_json MergeBurnRates(
    const std::vector<nlohmann::ordered_json>& nodes);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CTL_REPORT_COMMANDS_H_
