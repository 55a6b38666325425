// The daemon: one process of the system, in the roles that its settings name.

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
#include "hemlockpoint/runtime/fiber_loop.h"
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

// Returns the exit code when the process should not run.
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

// Takes over a settings file that has changed. One with faults is reported
// and leaves the present settings in force.
void Reload(hemlockpoint::RelayNode& node, const std::string& path) {
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

// The text of the settings file, by which a change is told.
std::string ReadText(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

int RunRelay(const Settings& settings, const std::string& path) {
  hemlockpoint::FiberLoop loop;
  hemlockpoint::RelayNode node(
      settings, hemlockpoint::platform::PlatformProtocolAdapter(), loop);
  if (const auto error = node.Start()) {
    LogLine(LogLevel::kError, "start_failed").With("reason", *error);
    hemlockpoint::StopLog();
    std::_Exit(kExitFailed);
  }
  boost::asio::signal_set stop(loop.io(), SIGTERM, SIGINT);
  stop.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) {
      loop.Spawn([&] {
        node.DrainAndStop();
        LogLine(LogLevel::kInfo, "stopped")
            .With("node", settings.m_node.value());
        hemlockpoint::StopLog();
        // Connections that callers keep open would hold the loop.
        std::_Exit(0);
      });
    }
  });
  std::string text = ReadText(path);
  bool reload_asked = false;
  boost::asio::signal_set reload(loop.io(), SIGHUP);
  std::function<void()> await_reload = [&] {
    reload.async_wait([&](const boost::system::error_code& error, int) {
      if (!error) {
        reload_asked = true;
        await_reload();
      }
    });
  };
  await_reload();
  loop.SpawnPeriodic(kSettingsPollPeriod, [&] {
    const std::string now = ReadText(path);
    if (reload_asked || now != text) {
      reload_asked = false;
      text = now;
      Reload(node, path);
    }
  });
  LogLine(LogLevel::kInfo, "started").With("node", settings.m_node.value());
  loop.Run();
  return 0;
}

int Run(const Settings& settings) {
  hemlockpoint::FiberLoop loop;
  hemlockpoint::Node node(settings, loop);
  if (const auto error = node.Start()) {
    LogLine(LogLevel::kError, "start_failed").With("reason", *error);
    hemlockpoint::StopLog();
    std::_Exit(kExitFailed);
  }
  boost::asio::signal_set signals(loop.io(), SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code& error, int) {
    if (!error) {
      loop.Spawn([&] { node.DrainAndStop(); });
    }
  });
  LogLine(LogLevel::kInfo, "started").With("node", settings.m_node.value());
  loop.Run();
  LogLine(LogLevel::kInfo, "stopped").With("node", settings.m_node.value());
  return 0;
}

}  // namespace

// An exception that gets here ends the process, as it should.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
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
  const bool routes = settings->m_mode == hemlockpoint::ServingMode::kRoutes;
  hemlockpoint::StartLog(settings->m_log_level,
                         routes ? hemlockpoint::LogStream::kStandardOutput
                                : hemlockpoint::LogStream::kStandardError);
  const int exit_code =
      routes ? RunRelay(*settings, options.m_settings_path) : Run(*settings);
  hemlockpoint::StopLog();
  return exit_code;
}
