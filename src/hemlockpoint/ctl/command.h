#ifndef HEMLOCKPOINT_CTL_COMMAND_H_
#define HEMLOCKPOINT_CTL_COMMAND_H_

#include <functional>
#include <iosfwd>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/ctl/admin_client.h"

namespace hemlockpoint {

/// @brief Exit codes of hemlockctl; docs/operations/hemlockctl.md.
enum class CtlExitCode {
  kDone = 0,
  /// The operation was refused or found faults.
  kRefused = 1,
  /// The command line is wrong.
  kUsage = 2,
  /// No node answered, or it isn't known whether the change was accepted.
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
  /// File to read; "-" for standard input.
  std::string m_file;
  std::string m_section;
  std::string m_change_id;
  std::string m_token;
  std::string m_actor;
  std::string m_peer;
  std::optional<std::uint64_t> m_base;
};

struct CtlContext {
  const CtlOptions& m_options;
  const AdminClient& m_client;
  std::ostream& m_out;
  std::ostream& m_err;
};

using CtlCommand = std::function<CtlExitCode(CtlContext&)>;

/// @brief An answer to an operator's request, whatever its status.
struct CtlResponse {
  unsigned m_status = 0;
  nlohmann::ordered_json m_json;
};

/// @brief Asks the leader of the control group, starting from the nodes that
/// the options name and following where they point.
/// @return The answer, or why nobody gave one.
[[nodiscard]] Result<CtlResponse> RequestFromLeader(
    const CtlContext& context,
    const std::string& method,
    const std::string& path,
    const nlohmann::ordered_json& body);

/// @return The JSON that a GET of the leader gives, or why there is none.
[[nodiscard]] Result<nlohmann::ordered_json> GetFromLeader(
    const CtlContext& context,
    const std::string& path);

/// @return The JSON that a GET of one node gives.
[[nodiscard]] Result<nlohmann::ordered_json> GetJson(const CtlContext& context,
                                                     const Endpoint& node,
                                                     const std::string& path);

/// @brief Prints why nobody answered.
CtlExitCode ReportUnreachable(const CtlContext& context,
                              const std::string& reason);

/// @brief Prints cells in columns of the given widths.
void PrintRow(std::ostream& out,
              const std::vector<int>& widths,
              const std::vector<std::string>& cells);

/// @return A JSON string's content, or another value as JSON.
[[nodiscard]] std::string TextOf(const nlohmann::ordered_json& value);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CTL_COMMAND_H_
