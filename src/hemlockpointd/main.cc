// The daemon: one process of the system, in the roles that its settings name.

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <string>

#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/log/log.h"
#include "hemlockpoint/node/node.h"
#include "hemlockpoint/runtime/fiber_loop.h"

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
  hemlockpoint::StartLog(settings->m_log_level);
  const int exit_code = Run(*settings);
  hemlockpoint::StopLog();
  return exit_code;
}
