#ifndef HEMLOCKPOINT_CTL_COMMANDS_H_
#define HEMLOCKPOINT_CTL_COMMANDS_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "hemlockpoint/ctl/command.h"

namespace hemlockpoint {

/// @brief Runs a command; blocks the calling fiber.
/// @param name Name of the command, such as "status" or "policy apply".
[[nodiscard]] CtlExitCode RunCommand(const std::string& name,
                                     const CtlOptions& options,
                                     const AdminClient& client,
                                     std::ostream& out,
                                     std::ostream& err);

/// @return The names of all commands.
[[nodiscard]] std::vector<std::string> CommandNames();

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CTL_COMMANDS_H_
