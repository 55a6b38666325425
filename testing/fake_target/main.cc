// Runs a fake target as a process, for scenarios, demos and benchmarks.

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>
#include <iostream>
#include <string>
#include <vector>

#include "fake_target/fake_target.h"

namespace {

namespace po = boost::program_options;
using hemlockpoint::Endpoint;
using hemlockpoint::FakeTargetOptions;
using hemlockpoint::Millis;

bool ReadEndpoint(const po::variables_map& values,
                  const char* name,
                  Endpoint& endpoint) {
  if (values.count(name) == 0) {
    return true;
  }
  const auto parsed =
      hemlockpoint::ParseEndpoint(values[name].as<std::string>());
  if (!parsed) {
    std::cerr << "--" << name << ": " << parsed.reason() << "\n";
    return false;
  }
  endpoint = *parsed;
  return true;
}

// Parses each --child, given as "SERVICE:/PATH".
bool ParseChildCalls(const po::variables_map& values,
                     FakeTargetOptions& options) {
  if (values.count("child") == 0) {
    return true;
  }
  for (const auto& text : values["child"].as<std::vector<std::string>>()) {
    const std::size_t colon = text.find(':');
    if (colon == std::string::npos) {
      std::cerr << "--child: expected SERVICE:/PATH\n";
      return false;
    }
    options.m_children.push_back(
        {text.substr(0, colon), text.substr(colon + 1)});
  }
  return true;
}

}  // namespace

// An uncaught exception ends the process, which is intended.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  FakeTargetOptions options;
  double service_time = 10;
  double cold_duration = 0;
  po::options_description description("fake_target [options]");
  description.add_options()("help", "show this help")(
      "service", po::value(&options.m_service)->required())(
      "listen", po::value<std::string>()->required())("control",
                                                      po::value<std::string>())(
      "node-admin", po::value<std::string>()->required())(
      "node-http", po::value<std::string>()->required())(
      "slots", po::value(&options.m_slots))("connections",
                                            po::value(&options.m_connections))(
      "service-time-ms", po::value(&service_time))(
      "exponential", po::bool_switch(&options.m_is_exponential))(
      "cold-ms", po::value(&cold_duration))(
      "child", po::value<std::vector<std::string>>(), "SERVICE:/PATH")(
      "child-retries", po::value(&options.m_child_retries))(
      "seed", po::value(&options.m_seed));
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "fake_target: " << error.what() << "\n" << description;
    return 2;
  }
  options.m_service_time = Millis(service_time);
  options.m_cold_duration = Millis(cold_duration);
  const bool valid = ReadEndpoint(values, "listen", options.m_listen) &&
                     ReadEndpoint(values, "control", options.m_control) &&
                     ReadEndpoint(values, "node-admin", options.m_node_admin) &&
                     ReadEndpoint(values, "node-http", options.m_node_http) &&
                     ParseChildCalls(values, options);
  if (!valid) {
    return 2;
  }
  hemlockpoint::FiberLoop loop;
  hemlockpoint::FakeTarget target(options, loop);
  if (const auto error = target.Start()) {
    std::cerr << "fake_target: " << *error << "\n";
    std::_Exit(1);
  }
  boost::asio::signal_set signals(loop.io(), SIGTERM, SIGINT);
  signals.async_wait([&](const boost::system::error_code&, int) {
    // Exits without draining, since a fake target holds no state to save.
    std::_Exit(0);
  });
  loop.Run();
  return 0;
}
