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

/// @brief A member of the control group as settings name it.
struct ControlHost {
  NodeId m_node;
  Endpoint m_peer;
};

/// @brief Bounds of what one process accepts from callers.
struct CallerLimits {
  std::uint64_t m_body_bytes = std::uint64_t{64} * 1024 * 1024;
  std::uint32_t m_header_bytes = 16 * 1024;
  std::size_t m_connections = 4096;
  /// Calls that have entered here and not ended.
  std::size_t m_calls = 8192;
  /// Deadline of a call whose caller states none.
  Millis m_default_deadline{10'000};
  /// Longest deadline that a caller may state.
  Millis m_max_deadline{300'000};
};

/// @brief By which kind of document callers' requests are served.
enum class ServingMode : unsigned char {
  /// Sections of policy; callers name the service.
  kPolicy,
  /// Routes by host and path.
  kRoutes,
};

/// @brief The target beside a node, where the settings name it.
struct TargetSettings {
  Endpoint m_endpoint;
  ServiceName m_service;
};

/// @brief Repeats that all nodes together may cause at one service.
struct RetryLimits {
  /// Repeats for each request in a window.
  double m_ratio = 0.2;
  Millis m_window{10'000};
  /// Repeats in a window whatever the number of requests is.
  double m_slack = 50;
};

/// @brief Everything that one process learns from its settings file.
struct Settings {
  NodeId m_node;
  std::string m_group;
  std::string m_region;
  std::string m_failure_domain;
  bool m_is_node = false;
  bool m_is_control = false;

  /// Where callers and the target beside the node send requests.
  Endpoint m_http;
  /// Where other processes reach this one.
  Endpoint m_peer;
  /// Where it listens for them, when that is another address.
  Endpoint m_peer_bind;
  /// Where targets announce themselves and hemlockctl asks.
  Endpoint m_admin;

  ServingMode m_mode = ServingMode::kPolicy;
  /// Route mode: where readiness is asked for.
  Endpoint m_ready;
  /// Route mode: where targets announce themselves to a node, and where a
  /// control host is given route documents.
  Endpoint m_external;
  TargetSettings m_target;
  RetryLimits m_repeats;
  /// Route mode: what a node may hold of bodies at most.
  std::size_t m_max_body_memory_bytes = std::size_t{64} * 1024 * 1024;

  std::vector<ControlHost> m_control_hosts;
  /// Peer endpoints to ask first for the control group, in place of a list.
  std::vector<Endpoint> m_seeds;
  /// The control hosts among the seeds form a new group if they are blank.
  bool m_may_form_group = false;
  /// Control hosts with their disks that may be lost at the same time.
  std::size_t m_tolerated_losses = 1;
  std::string m_data_folder;

  CallerLimits m_limits;
  /// Calls that wait at the target beside the node at most.
  std::size_t m_max_queued_calls = 1024;
  /// Time that a shutdown waits for calls in flight.
  Millis m_drain_timeout{60'000};
  LogLevel m_log_level = LogLevel::kInfo;
  /// Forwards everything without limits; the comparison in measurements.
  bool m_pass_through = false;
};

/// @brief Reads and checks a settings document as a whole.
/// @param source Name of the document in findings.
/// @return The settings, or nothing after adding every finding.
[[nodiscard]] std::optional<Settings> ParseSettings(std::string_view text,
                                                    const std::string& source,
                                                    Findings& findings);

/// @brief Reads a settings file.
[[nodiscard]] std::optional<Settings> LoadSettings(const std::string& path,
                                                   Findings& findings);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONFIG_SETTINGS_H_
