#ifndef HEMLOCKPOINT_CTL_POLICY_COMMANDS_H_
#define HEMLOCKPOINT_CTL_POLICY_COMMANDS_H_

#include <map>
#include <string>

#include "hemlockpoint/ctl/command.h"

namespace hemlockpoint {

/// @return The commands on the policy document, by name.
[[nodiscard]] const std::map<std::string, CtlCommand>& PolicyCommands();

/// @return Lines of two texts that differ, each with "-" or "+" before it and
/// common lines with a blank (a longest common subsequence, Hunt and McIlroy
/// 1976). Texts are bounded by kMaxSectionBytes.
[[nodiscard]] std::string DiffLines(const std::string& before,
                                    const std::string& after);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CTL_POLICY_COMMANDS_H_
