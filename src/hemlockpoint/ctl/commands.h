#ifndef HEMLOCKPOINT_CTL_COMMANDS_H_
#define HEMLOCKPOINT_CTL_COMMANDS_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "hemlockpoint/ctl/admin_client.h"

namespace hemlockpoint {

/// @brief Exit codes of hemlockctl; docs/operations/hemlockctl.md.
enum class CtlExit {
  kDone = 0,
  /// The operation was refused or found faults.
  kRefused = 1,
  /// The command line is wrong.
  kUsage = 2,
  /// No node answered.
  kUnreachable = 3,
  /// Another change went first.
  kConflict = 4,
};

/// @brief What every command of hemlockctl is given.
struct CtlOptions {
  /// Operator listeners to ask, in order.
  std::vector<Endpoint> m_nodes;
  bool m_json = false;
  std::vector<std::string> m_arguments;
  std::string m_file;
  std::string m_section;
  std::string m_change_id;
  std::string m_token;
  std::string m_actor;
  std::optional<std::uint64_t> m_base;
};

/// @brief Runs one command; used on a fiber.
/// @param name Command such as "status" or "policy apply".
[[nodiscard]] CtlExit RunCommand(const std::string& name,
                                 const CtlOptions& options,
                                 const AdminClient& client,
                                 std::ostream& out,
                                 std::ostream& err);

/// @return The names of all commands.
[[nodiscard]] std::vector<std::string> CommandNames();

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CTL_COMMANDS_H_
