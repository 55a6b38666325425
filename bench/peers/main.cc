// Stands in for many nodes at one control host: each has a link of its own,
// sends heartbeats and takes what is pushed. Prints what they received.

#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <memory>
#include <vector>

#include "hemlockpoint/membership/directory.h"
#include "hemlockpoint/runtime/fiber_loop.h"
#include "hemlockpoint/transport/link_manager.h"

namespace {

namespace po = boost::program_options;
using namespace hemlockpoint;

struct Options {
  std::string m_control;
  int m_nodes = 50;
  int m_services = 19;
  int m_called_services = 3;
  double m_seconds = 10;
  // Nodes that restart each second.
  double m_restarts = 0;
};

class SimulatedNode {
 public:
  SimulatedNode(FiberLoop& loop, const Options& options, int number)
      : m_options(options),
        m_number(number),
        m_links(loop,
                MakeHello(),
                16,
                {[](InboundCall) {},
                 [this](LinkId, const NodeId&, const Message& message) {
                   Take(message);
                 },
                 [](LinkId, const NodeId&) {}}) {}

  void Beat(const Endpoint& control) {
    Heartbeat heartbeat;
    MemberEntry& member = heartbeat.m_member;
    member.m_node = NodeId(Name());
    member.m_incarnation = m_incarnation;
    member.m_peer = "127.200.0.1:7001";
    member.m_admin = "127.200.0.1:7002";
    member.m_region = "region-" + std::to_string(m_number % 2);
    member.m_failure_domain = "domain-" + std::to_string(m_number % 6);
    member.m_target.m_service = Service(m_number);
    member.m_target.m_slots = 120;
    member.m_revision = m_revision;
    for (int i = 1; i <= m_options.m_called_services; ++i) {
      heartbeat.m_interests.push_back(Service(m_number + i));
    }
    heartbeat.m_directory_origin = m_origin;
    heartbeat.m_directory_version = m_version;
    m_links.SendTo(control, heartbeat);
  }

  void Restart() { ++m_incarnation; }
  [[nodiscard]] const LinkCounters& counters() const {
    return m_links.counters();
  }

 private:
  [[nodiscard]] std::string Name() const {
    return "peer-" + std::to_string(m_number);
  }
  [[nodiscard]] ServiceName Service(int number) const {
    return ServiceName("service-" +
                       std::to_string(number % m_options.m_services));
  }
  Hello MakeHello() const {
    Hello hello;
    hello.m_group = "bench";
    hello.m_node = NodeId(Name());
    return hello;
  }
  void Take(const Message& message) {
    if (const auto* push = std::get_if<PolicyPush>(&message)) {
      m_revision = push->m_revision;
    } else if (const auto* delta = std::get_if<DirectoryDelta>(&message)) {
      m_origin = delta->m_origin;
      m_version = delta->m_version;
    }
  }

  const Options& m_options;
  int m_number;
  LinkManager m_links;
  std::uint64_t m_incarnation = 1;
  Revision m_revision;
  std::string m_origin;
  std::uint64_t m_version = 0;
};

void Run(FiberLoop& loop, const Options& options, const Endpoint& control) {
  std::vector<std::unique_ptr<SimulatedNode>> peers;
  for (int i = 0; i < options.m_nodes; ++i) {
    peers.push_back(std::make_unique<SimulatedNode>(loop, options, i));
  }
  // Heartbeats are spread over their period.
  constexpr int kSlices = 25;
  const Millis slice = kHeartbeatPeriod * (1.0 / kSlices);
  const Millis end = SteadyNow() + Millis(options.m_seconds * 1000);
  double restarts = 0;
  std::size_t next_restart = 0;
  for (std::size_t turn = 0; SteadyNow() < end; ++turn) {
    for (std::size_t i = turn % kSlices; i < peers.size(); i += kSlices) {
      peers[i]->Beat(control);
    }
    restarts += options.m_restarts * slice.value() / 1000;
    for (; restarts >= 1; restarts -= 1) {
      peers[next_restart++ % peers.size()]->Restart();
    }
    SleepFor(slice);
  }
  LinkCounters sum;
  for (const auto& peer : peers) {
    sum.m_bytes_sent += peer->counters().m_bytes_sent;
    sum.m_bytes_received += peer->counters().m_bytes_received;
    sum.m_messages_sent += peer->counters().m_messages_sent;
    sum.m_messages_received += peer->counters().m_messages_received;
  }
  const double scale = 1 / (options.m_seconds * options.m_nodes);
  std::printf(
      "{\"nodes\": %d, \"sent_bytes_per_node_s\": %.1f, "
      "\"received_bytes_per_node_s\": %.1f, "
      "\"messages_per_node_s\": %.2f}\n",
      options.m_nodes, static_cast<double>(sum.m_bytes_sent) * scale,
      static_cast<double>(sum.m_bytes_received) * scale,
      static_cast<double>(sum.m_messages_sent + sum.m_messages_received) *
          scale);
  std::fflush(stdout);
  std::_Exit(0);
}

}  // namespace

// An exception that gets here ends the process, as it should.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  Options options;
  po::options_description description("hemlockpeers [options]");
  description.add_options()("control",
                            po::value(&options.m_control)->required())(
      "nodes", po::value(&options.m_nodes))("services",
                                            po::value(&options.m_services))(
      "called", po::value(&options.m_called_services))(
      "seconds", po::value(&options.m_seconds))("restarts",
                                                po::value(&options.m_restarts));
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "hemlockpeers: " << error.what() << "\n" << description;
    return 2;
  }
  const auto control = ParseEndpoint(options.m_control);
  if (!control) {
    std::cerr << "hemlockpeers: " << control.reason() << "\n";
    return 2;
  }
  FiberLoop loop;
  loop.Spawn([&] { Run(loop, options, *control); });
  loop.Run();
  return 0;
}
