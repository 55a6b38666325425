#include "hemlockpoint/config/settings.h"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "hemlockpoint/config/toml_reader.h"

namespace hemlockpoint {

namespace {

constexpr std::size_t kMaxControlHosts = 7;
constexpr std::size_t kMaxNameBytes = 64;
constexpr double kBytesPerMebibyte = 1024.0 * 1024.0;
constexpr double kBytesPerKibibyte = 1024.0;
constexpr double kMillisPerSecond = 1000.0;
// Share of "stop_within_s", the time after which a stopping process is killed,
// that it waits for calls in flight. The remaining time is needed to close
// links and to flush the log, even on a slow host.
constexpr double kDrainTimeShare = 0.85;

std::string ReadName(TomlReader& reader, std::string_view key) {
  const std::string name = reader.String(key);
  const bool is_valid =
      !name.empty() && name.size() <= kMaxNameBytes &&
      std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
      });
  if (!is_valid) {
    reader.AddFinding(key, "expected 1 to 64 letters, digits, '-', '_' or '.'");
  }
  return name;
}

Endpoint ReadEndpoint(TomlReader& reader, std::string_view key) {
  const std::string text = reader.String(key);
  const Result<Endpoint> endpoint = ParseEndpoint(text);
  if (!endpoint) {
    reader.AddFinding(key, endpoint.reason());
    return {};
  }
  return *endpoint;
}

void ReadNode(TomlReader& document, Settings& settings) {
  std::optional<TomlReader> node = document.Table("node");
  if (!node) {
    document.AddFinding("node", "missing table");
    return;
  }
  settings.m_node = NodeId(ReadName(*node, "name"));
  settings.m_group = ReadName(*node, "group");
  settings.m_region = ReadName(*node, "region");
  settings.m_failure_domain = ReadName(*node, "failure_domain");
  for (const std::string& role : node->Strings("roles")) {
    if (role == "node") {
      settings.m_is_node = true;
    } else if (role == "control") {
      settings.m_is_control = true;
    } else {
      node->AddFinding(
          "roles", "unknown role \"" + role + "\": expected node or control");
    }
  }
  if (!settings.m_is_node && !settings.m_is_control) {
    node->AddFinding("roles", "expected at least one of node and control");
  }
  settings.m_pass_through = node->Bool("pass_through", false);
  const std::string mode = node->String("serves", "policy");
  if (mode == "routes") {
    settings.m_mode = ServingMode::kRoutes;
  } else if (mode != "policy") {
    node->AddFinding("serves", "expected policy or routes");
  }
  node->ReportUnknownKeys();
}

void ReadListen(TomlReader& document, Settings& settings) {
  std::optional<TomlReader> listen = document.Table("listen");
  if (!listen) {
    document.AddFinding("listen", "missing table");
    return;
  }
  settings.m_peer = ReadEndpoint(*listen, "peer");
  settings.m_peer_bind = listen->Has("peer_bind")
                             ? ReadEndpoint(*listen, "peer_bind")
                             : settings.m_peer;
  settings.m_admin = ReadEndpoint(*listen, "admin");
  if (settings.m_is_node) {
    settings.m_http = ReadEndpoint(*listen, "http");
  }
  if (settings.m_mode == ServingMode::kRoutes) {
    settings.m_external = ReadEndpoint(*listen, "outside");
    if (settings.m_is_node) {
      settings.m_ready = ReadEndpoint(*listen, "ready");
    }
  }
  listen->ReportUnknownKeys();
}

void ReadTarget(TomlReader& document, Settings& settings) {
  std::optional<TomlReader> target = document.Table("target");
  if (!target) {
    if (settings.m_is_node && settings.m_mode == ServingMode::kRoutes) {
      document.AddFinding("target", "missing table");
    }
    return;
  }
  settings.m_target.m_endpoint = ReadEndpoint(*target, "endpoint");
  settings.m_target.m_service = ServiceName(ReadName(*target, "service"));
  target->ReportUnknownKeys();
}

void ReadRetryLimits(TomlReader& document, Settings& settings) {
  std::optional<TomlReader> table = document.Table("repeats");
  if (!table) {
    return;
  }
  RetryLimits& limits = settings.m_repeats;
  limits.m_ratio = table->Number("ratio", {0, 10}, limits.m_ratio);
  limits.m_window = Millis(
      table->Number("window_s", {0.1, 3600}, limits.m_window.value() / 1000) *
      1000);
  limits.m_slack = table->Number("slack", {0, 1e6}, limits.m_slack);
  table->ReportUnknownKeys();
}

// A seed may be given with the port of any of its listeners. Only its address
// is used, because the peer port is the same on all hosts.
void ReadSeeds(TomlReader& control, Settings& settings) {
  for (const std::string& text : control.Strings("seeds")) {
    const Result<Endpoint> seed = ParseEndpoint(text);
    if (seed) {
      settings.m_seeds.push_back({seed->m_address, settings.m_peer.m_port});
    } else {
      control.AddFinding("seeds", seed.reason());
    }
  }
  settings.m_may_form_group = control.Bool("form_group", false);
  settings.m_tolerated_losses = control.Integer("losses_borne", {0, 3}, 1);
  if (settings.m_is_control) {
    settings.m_data_folder = control.String("data_folder");
  }
  control.ReportUnknownKeys();
}

void ReadControl(TomlReader& document, Settings& settings) {
  std::optional<TomlReader> control = document.Table("control");
  if (!control) {
    document.AddFinding("control", "missing table");
    return;
  }
  if (settings.m_mode == ServingMode::kRoutes) {
    ReadSeeds(*control, settings);
    return;
  }
  for (TomlReader& host : control->Tables("hosts")) {
    ControlHost entry;
    entry.m_node = NodeId(ReadName(host, "name"));
    entry.m_peer = ReadEndpoint(host, "peer");
    host.ReportUnknownKeys();
    settings.m_control_hosts.push_back(entry);
  }
  const std::size_t count = settings.m_control_hosts.size();
  if (count == 0 || count > kMaxControlHosts) {
    control->AddFinding("hosts", "expected 1 to 7 control hosts");
  }
  const bool is_listed = std::any_of(
      settings.m_control_hosts.begin(), settings.m_control_hosts.end(),
      [&](const ControlHost& host) { return host.m_node == settings.m_node; });
  if (settings.m_is_control) {
    settings.m_data_folder = control->String("data_folder");
    if (!is_listed) {
      control->AddFinding("hosts",
                          "a process with the control role must be "
                          "one of the hosts");
    }
  }
  control->ReportUnknownKeys();
}

void ReadLimits(TomlReader& document, Settings& settings) {
  std::optional<TomlReader> limits = document.Table("limits");
  if (!limits) {
    return;
  }
  CallerLimits& caller = settings.m_limits;
  caller.m_body_bytes = static_cast<std::uint64_t>(
      limits->Number("body_mib", {0.001, 4096}, 64) * kBytesPerMebibyte);
  caller.m_header_bytes = static_cast<std::uint32_t>(
      limits->Number("header_kib", {1, 256}, 16) * kBytesPerKibibyte);
  caller.m_connections = limits->Integer("connections", {1, 65536}, 4096);
  caller.m_calls = limits->Integer("calls", {1, 65536}, 8192);
  caller.m_default_deadline =
      Millis(limits->Number("default_deadline_ms", {1, 3.6e6}, 10'000));
  caller.m_max_deadline =
      Millis(limits->Number("longest_deadline_ms", {1, 3.6e6}, 300'000));
  settings.m_max_body_memory_bytes = static_cast<std::size_t>(
      limits->Number("body_memory_mib", {1, 65536}, 64) * kBytesPerMebibyte);
  settings.m_max_queued_calls =
      limits->Integer("queue_entries", {1, 65536}, 1024);
  settings.m_drain_timeout =
      Millis(limits->Number("drain_timeout_ms", {0, 3.6e6}, 60'000));
  if (limits->Has("stop_within_s")) {
    settings.m_drain_timeout =
        Millis(limits->Number("stop_within_s", {0.1, 3600}, 60) *
               kMillisPerSecond * kDrainTimeShare);
  }
  if (caller.m_max_deadline < caller.m_default_deadline) {
    limits->AddFinding("longest_deadline_ms",
                       "shorter than default_deadline_ms");
  }
  limits->ReportUnknownKeys();
}

void ReadLog(TomlReader& document, Settings& settings) {
  std::optional<TomlReader> log = document.Table("log");
  if (!log) {
    return;
  }
  const std::optional<LogLevel> level =
      ParseLogLevel(log->String("level", "info"));
  if (level) {
    settings.m_log_level = *level;
  } else {
    log->AddFinding("level", "expected debug, info, warning or error");
  }
  log->ReportUnknownKeys();
}

}  // namespace

std::optional<Settings> ParseSettings(std::string_view text,
                                      const std::string& source,
                                      Findings& findings) {
  const std::optional<toml::table> table = ParseToml(text, source, findings);
  if (!table) {
    return std::nullopt;
  }
  Settings settings;
  TomlReader document(*table, "", source, findings);
  ReadNode(document, settings);
  ReadListen(document, settings);
  ReadTarget(document, settings);
  ReadRetryLimits(document, settings);
  ReadControl(document, settings);
  ReadLimits(document, settings);
  ReadLog(document, settings);
  document.ReportUnknownKeys();
  if (!findings.empty()) {
    return std::nullopt;
  }
  return settings;
}

std::optional<Settings> LoadSettings(const std::string& path,
                                     Findings& findings) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    findings.Add({path, 0, 0}, "cannot be read");
    return std::nullopt;
  }
  return ParseSettings(text.str(), path, findings);
}

}  // namespace hemlockpoint
