#ifndef HEMLOCKPOINT_CTL_CONTROL_COMMANDS_H_
#define HEMLOCKPOINT_CTL_CONTROL_COMMANDS_H_

#include <map>
#include <string>

#include "hemlockpoint/ctl/command.h"

namespace hemlockpoint {

/// @return The commands for the control group and the quarantine, by name.
[[nodiscard]] const std::map<std::string, CtlCommand>& ControlCommands();

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CTL_CONTROL_COMMANDS_H_
