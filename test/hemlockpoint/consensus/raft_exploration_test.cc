// Bounded exhaustive exploration (model checking) of the Raft functions that
// run in production: every order of timeouts, deliveries, losses, duplicated
// messages and crashes, up to a depth and a number of states.

#include <gtest/gtest.h>

#include <iostream>
#include <map>
#include <set>
#include <vector>

#include "hemlockpoint/base/digest.h"
#include "hemlockpoint/consensus/raft.h"
#include "hemlockpoint/wire/codec.h"
#include "support/raft_disk.h"

namespace hemlockpoint {
namespace {

constexpr int kMembers = 3;
constexpr Millis kNow(1'000'000);

struct InFlightMessage {
  int m_to = 0;
  RaftMessage m_message;
};

/// The whole group, its disks and its network at one point of the exploration.
struct ModelState {
  RaftState m_raft[kMembers];
  HardState m_disk_hard[kMembers];
  RaftLog m_disk_log[kMembers];
  std::vector<InFlightMessage> m_in_flight_messages;
  /// Term of each committed entry, by index.
  std::map<std::uint64_t, std::uint64_t> m_committed;
  /// Leader of each term.
  std::map<std::uint64_t, int> m_leaders;
  int m_crashes = 0;
  int m_timeouts = 0;
  int m_proposals = 0;
  int m_duplicates = 0;
  /// Description of a violated invariant; empty while all hold.
  std::string m_violation;
};

/// Maximum number of events of each kind on one path, of steps on one path, and
/// of states in all.
struct ExplorationLimits {
  int m_depth = 0;
  int m_crashes = 0;
  int m_timeouts = 0;
  int m_proposals = 0;
  int m_duplicates = 0;
  std::size_t m_max_states = 0;
};

std::string InstanceName(int member) {
  return "h" + std::to_string(member);
}

int MemberIndex(const std::string& instance) {
  return instance[1] - '0';
}

void ProcessOutput(ModelState& state, int member, const RaftOutput& output) {
  for (const RaftWrite& write : output.m_writes) {
    WriteToDisk(state.m_disk_hard[member], state.m_disk_log[member], write);
  }
  for (const RaftEnvelope& envelope : output.m_outgoing) {
    state.m_in_flight_messages.push_back(
        {MemberIndex(envelope.m_to.m_instance), envelope.m_message});
  }
  for (const LogEntry& entry : output.m_committed) {
    const auto [known, added] =
        state.m_committed.emplace(entry.m_index, entry.m_term);
    if (!added && known->second != entry.m_term) {
      state.m_violation = "two entries committed at one index";
    }
  }
  const RaftState& raft = state.m_raft[member];
  if (raft.m_role == RaftRole::kLeader) {
    const auto [known, added] =
        state.m_leaders.emplace(raft.m_hard.m_term, member);
    if (!added && known->second != member) {
      state.m_violation = "two leaders in one term";
    }
  }
}

ModelState MakeInitialState() {
  GroupConfig config;
  config.m_group_id = "g";
  for (int i = 0; i < kMembers; ++i) {
    GroupMember member;
    member.m_node = NodeId(InstanceName(i));
    member.m_instance = InstanceName(i);
    member.m_is_voter = true;
    config.m_members.push_back(member);
  }
  ModelState state;
  for (int i = 0; i < kMembers; ++i) {
    state.m_raft[i].m_instance = InstanceName(i);
    RaftOutput output;
    (void)InitGroup(state.m_raft[i], config, output);
    ProcessOutput(state, i, output);
  }
  return state;
}

// Identifies a state by everything that its future depends on. Of states with
// the same fingerprint only the first is explored. The disks are left out
// because they always equal the terms, votes and logs in memory.
std::string Fingerprint(const ModelState& state) {
  std::string text;
  const auto add = [&text](std::uint64_t number) {
    text += std::to_string(number) + ",";
  };
  for (const RaftState& raft : state.m_raft) {
    add(raft.m_hard.m_term);
    text += raft.m_hard.m_voted_for + ";" + raft.m_leader + ";";
    add(static_cast<std::uint64_t>(raft.m_role));
    add(raft.m_commit);
    for (const LogEntry& entry : raft.m_log.m_entries) {
      add(entry.m_term);
      text += entry.m_data.m_data.substr(0, 4);
    }
    for (const std::string& vote : raft.m_granted_votes) {
      text += vote;
    }
    if (raft.m_role == RaftRole::kLeader) {
      for (const auto& [instance, peer] : raft.m_peers) {
        add(peer.m_match_index);
        add(peer.m_next_index);
      }
    }
    text += "|";
  }
  std::multiset<std::string> encoded_messages;
  for (const InFlightMessage& in_flight : state.m_in_flight_messages) {
    const std::string message =
        std::visit([](const auto& value) { return EncodeMessage(value); },
                   in_flight.m_message);
    encoded_messages.insert(std::to_string(in_flight.m_to) + message);
  }
  for (const std::string& in_flight : encoded_messages) {
    text += std::to_string(ComputeDigest({in_flight}).value()) + ".";
  }
  for (const int count : {state.m_crashes, state.m_timeouts, state.m_proposals,
                          state.m_duplicates}) {
    add(static_cast<std::uint64_t>(count));
  }
  return text;
}

class Explorer {
 public:
  explicit Explorer(const ExplorationLimits& limits) : m_limits(limits) {}

  void Explore() {
    std::vector<ModelState> frontier = {MakeInitialState()};
    for (int depth = 0; depth < m_limits.m_depth && !frontier.empty();
         ++depth) {
      std::vector<ModelState> next;
      for (const ModelState& state : frontier) {
        Expand(state, next);
        if (!m_violation.empty() || m_visited.size() >= m_limits.m_max_states) {
          return;
        }
      }
      frontier.swap(next);
      m_depth = depth + 1;
    }
  }

  std::string m_violation;
  int m_depth = 0;
  std::set<std::uint64_t> m_visited;
  std::size_t m_states_with_commit = 0;

 private:
  void AddState(ModelState state, std::vector<ModelState>& next) {
    if (!state.m_violation.empty()) {
      m_violation = state.m_violation;
      return;
    }
    const std::string text = Fingerprint(state);
    if (m_visited.insert(ComputeDigest({text}).value()).second) {
      m_states_with_commit += state.m_committed.size() > 1 ? 1 : 0;
      next.push_back(std::move(state));
    }
  }

  void Expand(const ModelState& state, std::vector<ModelState>& next) {
    for (int i = 0; i < kMembers; ++i) {
      Timeout(state, i, next);
      Crash(state, i, next);
      ProposeAt(state, i, next);
    }
    for (std::size_t i = 0; i < state.m_in_flight_messages.size(); ++i) {
      Deliver(state, i, false, next);
      if (state.m_duplicates < m_limits.m_duplicates) {
        Deliver(state, i, true, next);
      }
      ModelState lost = state;
      lost.m_in_flight_messages.erase(lost.m_in_flight_messages.begin() +
                                      static_cast<long>(i));
      AddState(std::move(lost), next);
    }
  }

  void Timeout(const ModelState& state,
               int member,
               std::vector<ModelState>& next) {
    if (state.m_timeouts >= m_limits.m_timeouts ||
        state.m_raft[member].m_role == RaftRole::kLeader) {
      return;
    }
    ModelState after = state;
    ++after.m_timeouts;
    RaftState& raft = after.m_raft[member];
    raft.m_election_deadline = kNow - Millis(1);
    RaftOutput output;
    TickRaft(raft, 0, kNow, output);
    ProcessOutput(after, member, output);
    AddState(std::move(after), next);
  }

  void Crash(const ModelState& state,
             int member,
             std::vector<ModelState>& next) {
    if (state.m_crashes >= m_limits.m_crashes) {
      return;
    }
    ModelState after = state;
    ++after.m_crashes;
    RaftState restarted;
    restarted.m_instance = InstanceName(member);
    restarted.m_hard = after.m_disk_hard[member];
    restarted.m_log = after.m_disk_log[member];
    after.m_raft[member] = restarted;
    StartRaft(after.m_raft[member], 0, kNow);
    AddState(std::move(after), next);
  }

  void ProposeAt(const ModelState& state,
                 int member,
                 std::vector<ModelState>& next) {
    if (state.m_proposals >= m_limits.m_proposals ||
        state.m_raft[member].m_role != RaftRole::kLeader) {
      return;
    }
    ModelState after = state;
    ++after.m_proposals;
    RaftOutput output;
    (void)Propose(after.m_raft[member], LogEntryKind::kPolicyChange,
                  std::to_string(after.m_proposals), kNow, output);
    ProcessOutput(after, member, output);
    AddState(std::move(after), next);
  }

  void Deliver(const ModelState& state,
               std::size_t message_index,
               bool is_duplicate,
               std::vector<ModelState>& next) {
    ModelState after = state;
    const InFlightMessage delivered = after.m_in_flight_messages[message_index];
    if (is_duplicate) {
      ++after.m_duplicates;
    } else {
      after.m_in_flight_messages.erase(after.m_in_flight_messages.begin() +
                                       static_cast<long>(message_index));
    }
    RaftState& raft = after.m_raft[delivered.m_to];
    // The model has no time. Members behave as if they had not heard from a
    // leader for long, so that any of them may grant a pre-vote.
    raft.m_leader_heard_at = Millis(-1e12);
    RaftOutput output;
    HandleRaftMessage(raft, delivered.m_message, 0, kNow, output);
    raft.m_leader_heard_at = Millis(-1e12);
    ProcessOutput(after, delivered.m_to, output);
    AddState(std::move(after), next);
  }

  ExplorationLimits m_limits;
};

void ExploreWithin(const ExplorationLimits& limits) {
  Explorer explorer(limits);
  explorer.Explore();
  std::cout << explorer.m_visited.size() << " states, depth "
            << explorer.m_depth << " complete, "
            << explorer.m_states_with_commit << " with a committed change\n";
  EXPECT_EQ(explorer.m_violation, "");
  EXPECT_GT(explorer.m_states_with_commit, 0U);
}

TEST(RaftExploration, OneCandidateWithLossAndDuplicates) {
  ExploreWithin({14, 0, 1, 1, 1, 60'000});
}

TEST(RaftExploration, TwoCandidatesWithOneCrash) {
  ExploreWithin({16, 1, 2, 0, 0, 60'000});
}

}  // namespace
}  // namespace hemlockpoint
