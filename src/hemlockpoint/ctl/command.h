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
  /// The operation was refused, or it found errors.
  kRefused = 1,
  /// The command line is wrong.
  kUsage = 2,
  /// No node responded, or it is unknown whether the change was accepted.
  kUnreachable = 3,
  /// A concurrent change was accepted first.
  kConflict = 4,
};

/// @brief Command line options of hemlockctl.
struct CtlOptions {
  /// Admin listeners to try, in this order.
  std::vector<Endpoint> m_nodes;
  /// Whether to print JSON in place of text.
  bool m_json = false;
  /// Positional arguments after the command name.
  std::vector<std::string> m_arguments;
  /// Path of the input file; "-" for standard input.
  std::string m_file;
  /// Section of the policy document.
  std::string m_section;
  /// Identifies a change, so that it can be resent.
  std::string m_change_id;
  /// Bearer token of the operator.
  std::string m_token;
  /// Who makes the change.
  std::string m_actor;
  std::string m_peer;
  /// Revision of the section that the change is based on.
  std::optional<std::uint64_t> m_base;
};

/// @brief Arguments of a command, its client and its output streams.
struct CtlContext {
  const CtlOptions& m_options;
  const AdminClient& m_client;
  std::ostream& m_out;
  std::ostream& m_err;
};

using CtlCommand = std::function<CtlExitCode(CtlContext&)>;

/// @brief A JSON response to an admin request, whatever its status.
struct CtlResponse {
  unsigned m_status = 0;
  nlohmann::ordered_json m_json;
};

/// @brief Sends a request to the leader of the control group. Tries the nodes
/// of the options in turn and follows their references to the leader.
/// @param body JSON to send; null for no body.
/// @return The response, or why there is none.
[[nodiscard]] Result<CtlResponse> RequestFromLeader(
    const CtlContext& context,
    const std::string& method,
    const std::string& path,
    const nlohmann::ordered_json& body);

/// @brief Sends a GET request to the leader of the control group.
/// @return The JSON of a response with status 200, or why there is none.
[[nodiscard]] Result<nlohmann::ordered_json> GetFromLeader(
    const CtlContext& context,
    const std::string& path);

/// @brief Sends a GET request to one node.
/// @return The JSON of a response with status 200, or why there is none.
[[nodiscard]] Result<nlohmann::ordered_json> GetJson(const CtlContext& context,
                                                     const Endpoint& node,
                                                     const std::string& path);

/// @brief Prints why no node responded.
/// @return CtlExitCode::kUnreachable.
CtlExitCode ReportUnreachable(const CtlContext& context,
                              const std::string& reason);

/// @brief Prints a row of cells, padded to the widths of their columns.
void PrintRow(std::ostream& out,
              const std::vector<int>& widths,
              const std::vector<std::string>& cells);

/// @return The content of a JSON string; any other value as JSON text.
[[nodiscard]] std::string ToDisplayText(const nlohmann::ordered_json& value);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CTL_COMMAND_H_
