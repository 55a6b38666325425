#ifndef HEMLOCKPOINT_CTL_POLICY_COMMANDS_H_
#define HEMLOCKPOINT_CTL_POLICY_COMMANDS_H_

#include <map>
#include <string>

#include "hemlockpoint/ctl/command.h"

namespace hemlockpoint {

/// @return The commands for the policy document, by name.
[[nodiscard]] const std::map<std::string, CtlCommand>& PolicyCommands();

/// @brief Compares two texts line by line, with a longest common subsequence
/// (Hunt and McIlroy, 1976). Takes memory and time in proportion to the product
/// of the line counts, so texts should be no longer than kMaxSectionBytes.
/// @return All lines of both texts: removed lines start with "- ", added lines
/// with "+ " and common lines with two spaces.
[[nodiscard]] std::string DiffLines(const std::string& before,
                                    const std::string& after);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CTL_POLICY_COMMANDS_H_
