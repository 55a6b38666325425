#ifndef HEMLOCKPOINT_TEST_SUPPORT_RAFT_CLUSTER_H_
#define HEMLOCKPOINT_TEST_SUPPORT_RAFT_CLUSTER_H_

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "hemlockpoint/consensus/raft.h"
#include "support/raft_disk.h"

namespace hemlockpoint {

/// @brief One simulated member. Its disk survives a crash, its memory doesn't.
struct SimMember {
  RaftState m_raft;
  HardState m_disk_hard;
  RaftLog m_disk_log;
  bool m_is_up = true;
  /// Entries applied since the last start or restored snapshot.
  std::vector<LogEntry> m_applied;
  /// Data of the last restored snapshot.
  std::string m_restored_snapshot;
};

/// @brief A simulated control group with a virtual clock and a network that
/// loses, duplicates, delays and blocks messages. Runs with the same seed are
/// identical.
class RaftCluster {
 public:
  RaftCluster(int members, std::uint64_t seed) : m_random(seed) {
    GroupConfig config;
    config.m_group_id = "group";
    for (int i = 0; i < members; ++i) {
      config.m_members.push_back(MakeMember(i, 0, true));
    }
    for (int i = 0; i < members; ++i) {
      AddEmptyMember(config.m_members[static_cast<std::size_t>(i)].m_instance);
      RaftOutput output;
      (void)InitGroup(m_members[InstanceOf(i, 0)].m_raft, config, output);
      ProcessOutput(InstanceOf(i, 0), output);
    }
  }

  /// @param generation Counts how often the host's disk was wiped.
  static std::string InstanceOf(int host, int generation) {
    return "h" + std::to_string(host) + "." + std::to_string(generation);
  }

  static GroupMember MakeMember(int host, int generation, bool voter) {
    GroupMember member;
    member.m_node = NodeId("h" + std::to_string(host));
    member.m_instance = InstanceOf(host, generation);
    member.m_peer = member.m_instance;
    member.m_is_voter = voter;
    return member;
  }

  /// Adds a running member with an empty disk.
  void AddEmptyMember(const std::string& instance) {
    SimMember& member = m_members[instance];
    member.m_raft.m_instance = instance;
    StartRaft(member.m_raft, Random(), m_now);
  }

  /// Advances the virtual clock by a duration in steps of 10 ms.
  void Run(Millis duration) {
    const Millis end = m_now + duration;
    while (m_now < end) {
      m_now += Millis(10);
      Deliver();
      for (auto& [instance, member] : m_members) {
        if (member.m_is_up) {
          RaftOutput output;
          TickRaft(member.m_raft, Random(), m_now, output);
          ProcessOutput(instance, output);
        }
      }
      CheckLeaders();
    }
  }

  /// @return The running leader of the newest term that has committed an entry
  /// of its own term; empty when there is none.
  [[nodiscard]] std::string Leader() const {
    std::string leader;
    std::uint64_t term = 0;
    for (const auto& [instance, member] : m_members) {
      const bool leads =
          member.m_is_up && member.m_raft.m_role == RaftRole::kLeader &&
          member.m_raft.m_commit >= member.m_raft.m_term_start_index;
      if (leads && member.m_raft.m_hard.m_term >= term) {
        leader = instance;
        term = member.m_raft.m_hard.m_term;
      }
    }
    return leader;
  }

  std::optional<std::uint64_t> ProposeAt(const std::string& instance,
                                         LogEntryKind kind,
                                         const std::string& data) {
    SimMember& member = m_members[instance];
    if (!member.m_is_up) {
      return std::nullopt;
    }
    RaftOutput output;
    const auto index = Propose(member.m_raft, kind, data, m_now, output);
    ProcessOutput(instance, output);
    return index;
  }

  void Kill(const std::string& instance) {
    m_members[instance].m_is_up = false;
  }

  void Restart(const std::string& instance) {
    SimMember& member = m_members[instance];
    RaftState restarted;
    restarted.m_instance = instance;
    restarted.m_hard = member.m_disk_hard;
    restarted.m_log = member.m_disk_log;
    member.m_raft = restarted;
    member.m_applied.clear();
    member.m_restored_snapshot = member.m_disk_log.m_snapshot.m_data;
    member.m_is_up = true;
    StartRaft(member.m_raft, Random(), m_now);
  }

  void Compact(const std::string& instance, const std::string& data) {
    RaftOutput output;
    CompactLog(m_members[instance].m_raft, data, output);
    ProcessOutput(instance, output);
  }

  /// Silently drops all messages from one member to the other.
  void CutLink(const std::string& from, const std::string& to) {
    m_cut_links.insert({from, to});
  }
  void Isolate(const std::string& instance) {
    for (const auto& [other, member] : m_members) {
      CutLink(instance, other);
      CutLink(other, instance);
    }
  }
  void Heal() { m_cut_links.clear(); }

  SimMember& at(const std::string& instance) { return m_members[instance]; }
  [[nodiscard]] const std::map<std::string, SimMember>& members() const {
    return m_members;
  }
  [[nodiscard]] Millis now() const { return m_now; }
  double Random() {
    return std::uniform_real_distribution<double>(0, 1)(m_random);
  }
  std::mt19937_64& random() { return m_random; }

  /// The first entry that any member has applied at each index.
  std::map<std::uint64_t, LogEntry> m_committed;
  /// Description of a violated invariant; empty while all hold.
  std::string m_violation;
  double m_loss_probability = 0;
  double m_duplicate_probability = 0;
  Millis m_max_delay{20};

 private:
  struct InFlightMessage {
    Millis m_arrival;
    std::string m_from;
    std::string m_to;
    RaftMessage m_message;
  };

  void ProcessOutput(const std::string& instance, const RaftOutput& output) {
    SimMember& member = m_members[instance];
    for (const RaftWrite& write : output.m_writes) {
      WriteToDisk(member.m_disk_hard, member.m_disk_log, write);
    }
    for (const RaftEnvelope& envelope : output.m_outgoing) {
      Send(instance, envelope);
    }
    if (output.m_restore) {
      member.m_restored_snapshot = output.m_restore->m_data;
      member.m_applied.clear();
    }
    for (const LogEntry& entry : output.m_committed) {
      member.m_applied.push_back(entry);
      CheckCommitted(instance, entry);
    }
  }

  void Send(const std::string& from, const RaftEnvelope& envelope) {
    const std::string to = envelope.m_to.m_instance;
    const int copies = Random() < m_duplicate_probability ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (Random() >= m_loss_probability) {
        const Millis delay = m_max_delay * Random();
        m_in_flight_messages.push_back(
            {m_now + delay, from, to, envelope.m_message});
      }
    }
  }

  void Deliver() {
    std::deque<InFlightMessage> undelivered;
    undelivered.swap(m_in_flight_messages);
    for (InFlightMessage& in_flight : undelivered) {
      if (in_flight.m_arrival > m_now) {
        m_in_flight_messages.push_back(std::move(in_flight));
        continue;
      }
      const auto member = m_members.find(in_flight.m_to);
      const bool cut =
          m_cut_links.count({in_flight.m_from, in_flight.m_to}) != 0;
      if (cut || member == m_members.end() || !member->second.m_is_up) {
        continue;
      }
      RaftOutput output;
      HandleRaftMessage(member->second.m_raft, in_flight.m_message, Random(),
                        m_now, output);
      ProcessOutput(in_flight.m_to, output);
    }
  }

  void CheckCommitted(const std::string& instance, const LogEntry& entry) {
    const auto [known, added] = m_committed.emplace(entry.m_index, entry);
    if (!added && (known->second.m_term != entry.m_term ||
                   known->second.m_data.m_data != entry.m_data.m_data)) {
      m_violation =
          "entry " + std::to_string(entry.m_index) + " differs at " + instance;
    }
  }

  void CheckLeaders() {
    for (const auto& [instance, member] : m_members) {
      if (member.m_raft.m_role != RaftRole::kLeader) {
        continue;
      }
      const auto [known, added] =
          m_leaders.emplace(member.m_raft.m_hard.m_term, instance);
      if (!added && known->second != instance) {
        m_violation = "two leaders in term " +
                      std::to_string(member.m_raft.m_hard.m_term);
      }
    }
  }

  std::mt19937_64 m_random;
  Millis m_now{1000};
  std::map<std::string, SimMember> m_members;
  std::deque<InFlightMessage> m_in_flight_messages;
  std::set<std::pair<std::string, std::string>> m_cut_links;
  /// Leader of each term.
  std::map<std::uint64_t, std::string> m_leaders;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TEST_SUPPORT_RAFT_CLUSTER_H_
