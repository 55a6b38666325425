#ifndef HEMLOCKPOINT_TEST_SUPPORT_SIMULATED_GROUP_H_
#define HEMLOCKPOINT_TEST_SUPPORT_SIMULATED_GROUP_H_

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "hemlockpoint/control/group_planner.h"
#include "hemlockpoint/control/host_table.h"

namespace hemlockpoint {

/// @brief Position of a host in SimulatedGroup.
using HostNumber = std::size_t;

/// @brief A control host: its disk, which a kill leaves, and its process.
struct SimHost {
  Endpoint m_peer;
  /// How often the disk was lost.
  int m_generation = 0;
  HardState m_disk_hard;
  RaftLog m_disk_log;

  bool m_is_up = false;
  bool m_is_paused = false;
  /// Number of the process, so that links of an earlier one are known as
  /// closed.
  int m_process = 0;
  RaftState m_raft;
  HostTable m_table;
  /// The document that the process has applied last.
  std::string m_document;
  /// By instance: the host and process from which its last message came.
  std::map<std::string, std::pair<HostNumber, int>> m_reply_links;
  Millis m_next_heartbeat_at;
  Millis m_next_reconcile_at;
};

/// @brief The control group in virtual time: the consensus rules, the planner
/// of members and the heartbeats of hosts as in production, on hosts that lose
/// power, are paused, and lose their disks. Messages are addressed as in
/// production: to an endpoint, or, where the sender knows none, to the link on
/// which the receiver's last message came.
class SimulatedGroup {
 public:
  static constexpr Millis kStep{10};

  /// @param hosts Number of hosts, of which the first `voters` form the group.
  SimulatedGroup(std::size_t hosts, std::size_t voters, std::uint64_t seed);

  /// @brief Advances the clock by kStep.
  void Step();
  void Run(Millis duration);

  /// @brief Ends a host's process. What it has sent last may be lost.
  void Kill(HostNumber host);
  /// @brief Kills a host and empties its disk.
  void LoseDisk(HostNumber host);
  void Start(HostNumber host);
  void Pause(HostNumber host) { m_hosts[host].m_is_paused = true; }
  void Resume(HostNumber host) { m_hosts[host].m_is_paused = false; }

  /// @brief Proposes a document at a host.
  /// @return Index and term of its entry; nothing if the host doesn't lead.
  [[nodiscard]] std::optional<LogEntry> Propose(HostNumber host,
                                                const std::string& document);
  /// @return Whether the host has applied the entry while it still led, and so
  /// acknowledges it.
  [[nodiscard]] bool IsAcked(HostNumber host, const LogEntry& entry) const;

  /// @brief Starts to read the document at a host.
  /// @return The heartbeat round that has to be acknowledged; nothing if the
  /// host doesn't lead.
  [[nodiscard]] std::optional<std::uint64_t> StartRead(HostNumber host);
  /// @return Whether a majority has acknowledged the round to the host, so that
  /// it may answer with the entries that it has applied.
  [[nodiscard]] bool IsReadConfirmed(HostNumber host,
                                     std::uint64_t round) const;

  /// @return The running host that leads, in the newest term; nothing if there
  /// is none.
  [[nodiscard]] std::optional<HostNumber> Leader() const;

  /// @return Whether the disks that aren't lost hold a majority of the voters,
  /// in the newest committed configuration and in each newer one in a log.
  [[nodiscard]] bool HasMajorityOnDisk() const;

  /// @return Whether a majority of the voters runs, in the same configurations,
  /// and so does each host that isn't a voter.
  [[nodiscard]] bool CanCompleteVoters() const;

  /// @return How many further disks the newest committed configuration can
  /// lose.
  [[nodiscard]] std::size_t ToleratedLosses() const;

  [[nodiscard]] const std::vector<SimHost>& hosts() const { return m_hosts; }
  [[nodiscard]] Millis now() const { return m_now; }
  /// @return Time of the last change of a configuration in any log.
  [[nodiscard]] Millis config_changed_at() const { return m_config_changed_at; }
  /// @return Description of a violated invariant; empty while all hold.
  [[nodiscard]] const std::string& violation() const { return m_violation; }
  /// @return A number in [0, 1).
  double Random() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }

 private:
  using Payload = std::variant<RaftMessage, HostHeartbeat, HeartbeatAck>;

  struct InFlightMessage {
    Millis m_arrival;
    HostNumber m_from = 0;
    int m_from_process = 0;
    HostNumber m_to = 0;
    /// Process whose link it is sent on; nothing if a link is opened.
    std::optional<int> m_to_process;
    Payload m_payload;
  };

  [[nodiscard]] std::string InstanceOf(HostNumber host) const;
  [[nodiscard]] std::optional<HostNumber> FindHost(const Endpoint& peer) const;
  [[nodiscard]] bool IsOnDisk(const std::string& instance) const;
  [[nodiscard]] bool IsRunning(const std::string& instance) const;
  [[nodiscard]] std::vector<GroupConfig> ConfigsThatMayBeInForce() const;
  void Send(HostNumber from,
            HostNumber to,
            std::optional<int> to_process,
            Payload payload);
  void SendRaftMessage(HostNumber from, const RaftEnvelope& envelope);
  void SendHostHeartbeat(HostNumber from, const Endpoint& to);
  void Deliver();
  void Receive(const InFlightMessage& message);
  void TickHost(HostNumber host);
  void SendHeartbeats(HostNumber host);
  void Reconcile(HostNumber host);
  void ProcessOutput(HostNumber host, const RaftOutput& output);
  void Apply(HostNumber host, const LogEntry& entry);
  void CompactIfLarge(HostNumber host);
  void CheckLeader(HostNumber host);

  std::mt19937_64 m_random;
  Millis m_now{1000};
  std::size_t m_voters;
  std::vector<SimHost> m_hosts;
  std::deque<InFlightMessage> m_in_flight;
  std::map<std::uint64_t, LogEntry> m_committed;
  GroupConfig m_committed_config;
  std::uint64_t m_committed_config_index = 0;
  /// Instance that led in each term.
  std::map<std::uint64_t, std::string> m_leaders;
  Millis m_config_changed_at{-1e12};
  std::string m_violation;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TEST_SUPPORT_SIMULATED_GROUP_H_
