#ifndef HEMLOCKPOINT_CONFIG_SETTINGS_H_
#define HEMLOCKPOINT_CONFIG_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/findings.h"
#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/log/log.h"

namespace hemlockpoint {

/// @brief A member of the control group that the settings list.
struct ControlHost {
  NodeId m_node;
  Endpoint m_peer;
};

/// @brief Limits on what one process accepts from callers.
struct CallerLimits {
  std::uint64_t m_body_bytes = std::uint64_t{64} * 1024 * 1024;
  std::uint32_t m_header_bytes = 16 * 1024;
  std::size_t m_connections = 4096;
  /// Calls in progress that entered the system at this process.
  std::size_t m_calls = 8192;
  /// Deadline of calls that state none, as time from their arrival.
  Millis m_default_deadline{10'000};
  /// Longer deadlines of callers are shortened to this time.
  Millis m_max_deadline{300'000};
};

/// @brief Kind of document that defines how requests are served.
enum class ServingMode : unsigned char {
  /// A policy document made of sections; callers name the service.
  kPolicy,
  /// A route document; routes match the host and the path of a request.
  kRoutes,
};

/// @brief The local target of a node, if the settings configure it.
struct TargetSettings {
  Endpoint m_endpoint;
  ServiceName m_service;
};

/// @brief Limits on the retries that all nodes together send to one service.
struct RetryLimits {
  /// Retries allowed per request within the window.
  double m_ratio = 0.2;
  Millis m_window{10'000};
  /// Retries allowed per window in addition, regardless of the number of
  /// requests.
  double m_slack = 50;
};

/// @brief The content of a settings file.
struct Settings {
  NodeId m_node;
  std::string m_group;
  std::string m_region;
  std::string m_failure_domain;
  bool m_is_node = false;
  bool m_is_control = false;

  /// Listener for requests of callers and of the local target.
  Endpoint m_http;
  /// Address that other processes connect to.
  Endpoint m_peer;
  /// Address to listen on for other processes; the same as m_peer by default.
  Endpoint m_peer_bind;
  /// Listener for announcements of targets and for hemlockctl.
  Endpoint m_admin;

  ServingMode m_mode = ServingMode::kPolicy;
  /// Route mode: listener for readiness probes.
  Endpoint m_ready;
  /// Route mode: listener for announcements of targets on a node, and for route
  /// documents on a control host.
  Endpoint m_external;
  TargetSettings m_target;
  /// Route mode: limits on retries.
  RetryLimits m_repeats;
  /// Route mode: maximum memory of a node for the request bodies that it holds
  /// as the entry, and the same for those of calls to its target.
  std::size_t m_max_body_memory_bytes = std::size_t{64} * 1024 * 1024;

  std::vector<ControlHost> m_control_hosts;
  /// Route mode: peer endpoints for the discovery of the control group; used in
  /// place of m_control_hosts.
  std::vector<Endpoint> m_seeds;
  /// Whether the control hosts among the seeds form a new group if none of them
  /// belongs to a group.
  bool m_may_form_group = false;
  /// Number of control hosts that may fail at the same time, with the loss of
  /// their disks; determines the number of voters.
  std::size_t m_tolerated_losses = 1;
  std::string m_data_folder;

  CallerLimits m_limits;
  /// Maximum number of calls that wait for the local target.
  std::size_t m_max_queued_calls = 1024;
  /// Longest time that a shutdown waits for calls in flight.
  Millis m_drain_timeout{60'000};
  LogLevel m_log_level = LogLevel::kInfo;
  /// Forwards all calls without limits; the baseline of measurements.
  bool m_pass_through = false;
};

/// @brief Parses and validates a settings document.
/// @param source Name of the document in findings.
/// @return The settings, or nothing if there are findings. All errors of the
/// document are added to `findings`.
[[nodiscard]] std::optional<Settings> ParseSettings(std::string_view text,
                                                    const std::string& source,
                                                    Findings& findings);

/// @brief Reads a settings file and passes its content to ParseSettings().
[[nodiscard]] std::optional<Settings> LoadSettings(const std::string& path,
                                                   Findings& findings);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONFIG_SETTINGS_H_
