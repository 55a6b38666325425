// The daemon. Runs a node, a control host or both, as its settings define.

#include <unistd.h>

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>
#include <string>

#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/log/log.h"
#include "hemlockpoint/node/node.h"
#include "hemlockpoint/relay/relay_node.h"
#include "hemlockpoint/runtime/crash_lines.h"
#include "hemlockpoint/runtime/fiber_loop.h"
#include "hemlockpoint/runtime/process_memory.h"
#include "hemlockpoint/runtime/signals.h"
#include "platform/protocol_adapter.h"

namespace {

namespace po = boost::program_options;
using hemlockpoint::Findings;
using hemlockpoint::LogLevel;
using hemlockpoint::LogLine;
using hemlockpoint::Settings;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

struct Options {
  std::string m_settings_path;
  bool m_check_only = false;
};

// Returns an exit code if the process must exit without running.
std::optional<int> ReadCommandLine(int argc, char** argv, Options& options) {
  po::options_description description("hemlockpointd [options]");
  description.add_options()("help", "show this help")(
      "settings", po::value(&options.m_settings_path)->required(),
      "path of the settings file (TOML)")(
      "check", po::bool_switch(&options.m_check_only),
      "check the settings and exit");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.count("help") != 0) {
      std::cout << description;
      return 0;
    }
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "hemlockpointd: " << error.what() << "\n" << description;
    return kExitUsage;
  }
  return std::nullopt;
}

constexpr hemlockpoint::Millis kSettingsPollPeriod(1000);

// Applies the current settings file. If it has errors, logs them and keeps the
// current settings.
void ReloadSettings(hemlockpoint::RelayNode& node, const std::string& path) {
  Findings findings;
  const auto settings = hemlockpoint::LoadSettings(path, findings);
  if (!settings) {
    LogLine(LogLevel::kError, "reload_refused")
        .With("findings", findings.ToText());
    return;
  }
  node.Reload(*settings);
  LogLine(LogLevel::kInfo, "reloaded")
      .With("seeds", static_cast<std::uint64_t>(settings->m_seeds.size()));
}

// Reads the text of the settings file, to detect changes.
std::string ReadSettingsText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void OnEachSignal(boost::asio::signal_set& signals,
                  const std::function<void()>& handle) {
  signals.async_wait(
      [&signals, handle](const boost::system::error_code& error, int) {
        if (!error) {
          handle();
          OnEachSignal(signals, handle);
        }
      });
}

// Leaves half of the memory that the process may still map to the heap: bodies,
// documents and buffers.
void LimitStacks(hemlockpoint::FiberLoop& loop) {
  if (const auto bytes = hemlockpoint::MappableBytes()) {
    loop.SetMaxStackBytes(*bytes / 2);
    LogLine(LogLevel::kInfo, "stacks_limited")
        .With("mappable_bytes", static_cast<std::uint64_t>(*bytes))
        .With("max_fibers",
              static_cast<std::uint64_t>(loop.max_fibers().value_or(0)));
  }
}

int RunRelay(const Settings& settings, const std::string& path) {
  hemlockpoint::FiberLoop loop;
  LimitStacks(loop);
  hemlockpoint::RelayNode node(
      settings, hemlockpoint::platform::PlatformProtocolAdapter(), loop);
  if (const auto error = node.Start()) {
    LogLine(LogLevel::kError, "start_failed").With("reason", *error);
    hemlockpoint::StopLogAndExit(kExitFailed);
  }
  boost::asio::signal_set stop(loop.io(), SIGTERM, SIGINT);
  stop.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) {
      loop.Spawn([&] {
        node.DrainAndStop();
        LogLine(LogLevel::kInfo, "stopped")
            .With("node", settings.m_node.value());
        // Exits here because connections that callers keep open would keep the
        // loop running.
        hemlockpoint::StopLogAndExit(0);
      });
    }
  });
  std::string last_text = ReadSettingsText(path);
  bool is_reload_requested = false;
  boost::asio::signal_set reload(loop.io(), SIGHUP);
  OnEachSignal(reload, [&] { is_reload_requested = true; });
  hemlockpoint::UnblockSignals();
  loop.SpawnPeriodic(kSettingsPollPeriod, [&] {
    const std::string current_text = ReadSettingsText(path);
    if (is_reload_requested || current_text != last_text) {
      is_reload_requested = false;
      last_text = current_text;
      ReloadSettings(node, path);
    }
  });
  LogLine(LogLevel::kInfo, "started").With("node", settings.m_node.value());
  loop.Run();
  return 0;
}

int RunPolicyNode(const Settings& settings) {
  hemlockpoint::FiberLoop loop;
  LimitStacks(loop);
  hemlockpoint::Node node(settings, loop);
  if (const auto error = node.Start()) {
    LogLine(LogLevel::kError, "start_failed").With("reason", *error);
    hemlockpoint::StopLogAndExit(kExitFailed);
  }
  boost::asio::signal_set signals(loop.io(), SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) {
      loop.Spawn([&] { node.DrainAndStop(); });
    }
  });
  boost::asio::signal_set reload(loop.io(), SIGHUP);
  OnEachSignal(reload, [] {
    LogLine(LogLevel::kWarning, "reload_refused")
        .With("findings", "settings are read at start only in policy mode");
  });
  hemlockpoint::UnblockSignals();
  LogLine(LogLevel::kInfo, "started").With("node", settings.m_node.value());
  loop.Run();
  LogLine(LogLevel::kInfo, "stopped").With("node", settings.m_node.value());
  return 0;
}

}  // namespace

// An uncaught exception terminates the process, which is intended.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  hemlockpoint::BlockSignals();
  hemlockpoint::ShareHeapBetweenThreads();
  Options options;
  if (const auto exit_code = ReadCommandLine(argc, argv, options)) {
    return *exit_code;
  }
  Findings findings;
  const auto settings =
      hemlockpoint::LoadSettings(options.m_settings_path, findings);
  if (!settings) {
    std::cerr << findings.ToText();
    return kExitUsage;
  }
  if (options.m_check_only) {
    std::cout << "settings are valid\n";
    return 0;
  }
  const bool is_route_mode =
      settings->m_mode == hemlockpoint::ServingMode::kRoutes;
  hemlockpoint::WriteLinesOnCrash(
      settings->m_node.value(), is_route_mode ? STDOUT_FILENO : STDERR_FILENO);
  hemlockpoint::StartLog(settings->m_log_level,
                         is_route_mode
                             ? hemlockpoint::LogStream::kStandardOutput
                             : hemlockpoint::LogStream::kStandardError);
  const int exit_code = is_route_mode
                            ? RunRelay(*settings, options.m_settings_path)
                            : RunPolicyNode(*settings);
  if (!hemlockpoint::StopLog()) {
    std::_Exit(exit_code);
  }
  return exit_code;
}
