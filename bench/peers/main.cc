// Simulates many nodes of one control host. Each has a link of its own, sends
// heartbeats and receives the pushed policies and directory deltas. Prints the
// bytes and messages per node and second as JSON.

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
  // Peer endpoint of the control host.
  std::string m_control_address;
  int m_nodes = 50;
  int m_service_count = 19;
  // Number of services that each node calls.
  int m_called_services = 3;
  double m_seconds = 10;
  // Restarts per second over all nodes.
  double m_restarts_per_second = 0;
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
                   HandleMessage(message);
                 },
                 [](LinkId, const NodeId&) {}}) {}

  void SendHeartbeat(const Endpoint& control) {
    Heartbeat heartbeat;
    MemberEntry& member = heartbeat.m_member;
    member.m_node = NodeId(Name());
    member.m_incarnation = m_incarnation;
    member.m_peer = "127.200.0.1:7001";
    member.m_admin = "127.200.0.1:7002";
    member.m_region = "region-" + std::to_string(m_number % 2);
    member.m_failure_domain = "domain-" + std::to_string(m_number % 6);
    member.m_target.m_service = ServiceAt(m_number);
    member.m_target.m_slots = 120;
    member.m_revision = m_revision;
    for (int i = 1; i <= m_options.m_called_services; ++i) {
      heartbeat.m_interests.push_back(ServiceAt(m_number + i));
    }
    heartbeat.m_directory_origin = m_origin;
    heartbeat.m_directory_version = m_version;
    m_links.SendTo(control, heartbeat);
  }

  // Makes the next heartbeats those of a new incarnation.
  void Restart() { ++m_incarnation; }
  [[nodiscard]] const LinkCounters& counters() const {
    return m_links.counters();
  }

 private:
  [[nodiscard]] std::string Name() const {
    return "peer-" + std::to_string(m_number);
  }
  [[nodiscard]] ServiceName ServiceAt(int number) const {
    return ServiceName("service-" +
                       std::to_string(number % m_options.m_service_count));
  }
  Hello MakeHello() const {
    Hello hello;
    hello.m_group = "bench";
    hello.m_node = NodeId(Name());
    return hello;
  }
  void HandleMessage(const Message& message) {
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
  // Last received policy revision and directory state; heartbeats report them.
  Revision m_revision;
  std::string m_origin;
  std::uint64_t m_version = 0;
};

void RunNodes(FiberLoop& loop,
              const Options& options,
              const Endpoint& control) {
  std::vector<std::unique_ptr<SimulatedNode>> nodes;
  for (int i = 0; i < options.m_nodes; ++i) {
    nodes.push_back(std::make_unique<SimulatedNode>(loop, options, i));
  }
  // Spreads the heartbeats evenly over their period, so that the control host
  // doesn't receive all of them at once.
  constexpr int kSlicesPerPeriod = 25;
  const Millis slice = kHeartbeatPeriod * (1.0 / kSlicesPerPeriod);
  const Millis end = SteadyNow() + Millis(options.m_seconds * 1000);
  double due_restarts = 0;
  std::size_t next_restart = 0;
  for (std::size_t slice_index = 0; SteadyNow() < end; ++slice_index) {
    for (std::size_t i = slice_index % kSlicesPerPeriod; i < nodes.size();
         i += kSlicesPerPeriod) {
      nodes[i]->SendHeartbeat(control);
    }
    due_restarts += options.m_restarts_per_second * slice.value() / 1000;
    for (; due_restarts >= 1; due_restarts -= 1) {
      nodes[next_restart++ % nodes.size()]->Restart();
    }
    SleepFor(slice);
  }
  LinkCounters total;
  for (const auto& node : nodes) {
    total.m_bytes_sent += node->counters().m_bytes_sent;
    total.m_bytes_received += node->counters().m_bytes_received;
    total.m_messages_sent += node->counters().m_messages_sent;
    total.m_messages_received += node->counters().m_messages_received;
  }
  const double per_node_second = 1 / (options.m_seconds * options.m_nodes);
  std::printf(
      "{\"nodes\": %d, \"sent_bytes_per_node_s\": %.1f, "
      "\"received_bytes_per_node_s\": %.1f, "
      "\"messages_per_node_s\": %.2f}\n",
      options.m_nodes,
      static_cast<double>(total.m_bytes_sent) * per_node_second,
      static_cast<double>(total.m_bytes_received) * per_node_second,
      static_cast<double>(total.m_messages_sent + total.m_messages_received) *
          per_node_second);
  std::fflush(stdout);
  std::_Exit(0);
}

}  // namespace

// An uncaught exception ends the process, which is intended.
// NOLINTNEXTLINE(bugprone-exception-escape)
int main(int argc, char** argv) {
  Options options;
  po::options_description description("hemlockpeers [options]");
  description.add_options()("control",
                            po::value(&options.m_control_address)->required())(
      "nodes", po::value(&options.m_nodes))(
      "services", po::value(&options.m_service_count))(
      "called", po::value(&options.m_called_services))(
      "seconds", po::value(&options.m_seconds))(
      "restarts", po::value(&options.m_restarts_per_second));
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << "hemlockpeers: " << error.what() << "\n" << description;
    return 2;
  }
  const auto control = ParseEndpoint(options.m_control_address);
  if (!control) {
    std::cerr << "hemlockpeers: " << control.reason() << "\n";
    return 2;
  }
  FiberLoop loop;
  loop.Spawn([&] { RunNodes(loop, options, *control); });
  loop.Run();
  return 0;
}
