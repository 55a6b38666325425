// Bounded exhaustive exploration of the replicated log's rules: every order
// of timeouts, deliveries, losses, doubled messages and crashes up to a depth,
// over the functions that run in production.

#include <gtest/gtest.h>

#include <iostream>
#include <map>
#include <set>
#include <vector>

#include "hemlockpoint/base/digest.h"
#include "hemlockpoint/consensus/raft.h"
#include "hemlockpoint/wire/codec.h"

namespace hemlockpoint {
namespace {

constexpr int kMembers = 3;
constexpr Millis kNow(1'000'000);

struct InFlightMessage {
  int m_to = 0;
  RaftMessage m_message;
};

struct ModelState {
  RaftState m_raft[kMembers];
  HardState m_disk_hard[kMembers];
  RaftLog m_disk_log[kMembers];
  std::vector<InFlightMessage> m_in_flight_messages;
  /// Committed entries, by index.
  std::map<std::uint64_t, std::uint64_t> m_committed;
  std::map<std::uint64_t, int> m_leaders;
  int m_crashes = 0;
  int m_timeouts = 0;
  int m_proposals = 0;
  int m_duplicates = 0;
  std::string m_violation;
};

struct Bounds {
  int m_depth = 0;
  int m_crashes = 0;
  int m_timeouts = 0;
  int m_proposals = 0;
  int m_duplicates = 0;
  std::size_t m_states = 0;
};

std::string Name(int member) {
  return "h" + std::to_string(member);
}

int MemberIndex(const std::string& instance) {
  return instance[1] - '0';
}

void ProcessOutput(ModelState& world, int member, const RaftOutput& output) {
  for (const RaftWrite& write : output.m_writes) {
    if (const auto* hard = std::get_if<HardState>(&write)) {
      world.m_disk_hard[member] = *hard;
    } else if (const auto* truncate = std::get_if<TruncateWrite>(&write)) {
      TruncateFrom(world.m_disk_log[member], truncate->m_from);
    } else if (const auto* entry = std::get_if<LogEntry>(&write)) {
      world.m_disk_log[member].m_entries.push_back(*entry);
    }
  }
  for (const RaftEnvelope& envelope : output.m_outgoing) {
    world.m_in_flight_messages.push_back(
        {MemberIndex(envelope.m_to.m_instance), envelope.m_message});
  }
  for (const LogEntry& entry : output.m_committed) {
    const auto [known, added] =
        world.m_committed.emplace(entry.m_index, entry.m_term);
    if (!added && known->second != entry.m_term) {
      world.m_violation = "two entries committed at one index";
    }
  }
  const RaftState& raft = world.m_raft[member];
  if (raft.m_role == RaftRole::kLeader) {
    const auto [known, added] =
        world.m_leaders.emplace(raft.m_hard.m_term, member);
    if (!added && known->second != member) {
      world.m_violation = "two leaders in one term";
    }
  }
}

ModelState MakeInitialState() {
  GroupConfig config;
  config.m_group_id = "g";
  for (int i = 0; i < kMembers; ++i) {
    GroupMember member;
    member.m_node = NodeId(Name(i));
    member.m_instance = Name(i);
    member.m_voter = true;
    config.m_members.push_back(member);
  }
  ModelState world;
  for (int i = 0; i < kMembers; ++i) {
    world.m_raft[i].m_instance = Name(i);
    RaftOutput output;
    (void)InitGroup(world.m_raft[i], config, output);
    ProcessOutput(world, i, output);
  }
  return world;
}

// What two worlds must agree in to have the same future.
std::string Fingerprint(const ModelState& world) {
  std::string text;
  const auto add = [&text](std::uint64_t number) {
    text += std::to_string(number) + ",";
  };
  for (const RaftState& raft : world.m_raft) {
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
        add(peer.m_match);
        add(peer.m_next);
      }
    }
    text += "|";
  }
  std::multiset<std::string> flights;
  for (const InFlightMessage& flight : world.m_in_flight_messages) {
    const std::string message =
        std::visit([](const auto& value) { return EncodeMessage(value); },
                   flight.m_message);
    flights.insert(std::to_string(flight.m_to) + message);
  }
  for (const std::string& flight : flights) {
    text += std::to_string(DigestOf({flight}).value()) + ".";
  }
  for (const int count : {world.m_crashes, world.m_timeouts, world.m_proposals,
                          world.m_duplicates}) {
    add(static_cast<std::uint64_t>(count));
  }
  return text;
}

class Explorer {
 public:
  explicit Explorer(const Bounds& bounds) : m_bounds(bounds) {}

  void Explore() {
    std::vector<ModelState> layer = {MakeInitialState()};
    for (int depth = 0; depth < m_bounds.m_depth && !layer.empty(); ++depth) {
      std::vector<ModelState> next;
      for (const ModelState& world : layer) {
        Expand(world, next);
        if (!m_violation.empty() || m_visited.size() >= m_bounds.m_states) {
          return;
        }
      }
      layer.swap(next);
      m_depth = depth + 1;
    }
  }

  std::string m_violation;
  int m_depth = 0;
  std::set<std::uint64_t> m_visited;
  std::size_t m_states_with_commit = 0;

 private:
  void Keep(ModelState world, std::vector<ModelState>& next) {
    if (!world.m_violation.empty()) {
      m_violation = world.m_violation;
      return;
    }
    const std::string text = Fingerprint(world);
    if (m_visited.insert(DigestOf({text}).value()).second) {
      m_states_with_commit += world.m_committed.size() > 1 ? 1 : 0;
      next.push_back(std::move(world));
    }
  }

  void Expand(const ModelState& world, std::vector<ModelState>& next) {
    for (int i = 0; i < kMembers; ++i) {
      Timeout(world, i, next);
      Crash(world, i, next);
      ProposeAt(world, i, next);
    }
    for (std::size_t i = 0; i < world.m_in_flight_messages.size(); ++i) {
      Deliver(world, i, false, next);
      if (world.m_duplicates < m_bounds.m_duplicates) {
        Deliver(world, i, true, next);
      }
      ModelState lost = world;
      lost.m_in_flight_messages.erase(lost.m_in_flight_messages.begin() +
                                      static_cast<long>(i));
      Keep(std::move(lost), next);
    }
  }

  void Timeout(const ModelState& world,
               int member,
               std::vector<ModelState>& next) {
    if (world.m_timeouts >= m_bounds.m_timeouts ||
        world.m_raft[member].m_role == RaftRole::kLeader) {
      return;
    }
    ModelState after = world;
    ++after.m_timeouts;
    RaftState& raft = after.m_raft[member];
    raft.m_election_deadline = kNow - Millis(1);
    RaftOutput output;
    TickRaft(raft, 0, kNow, output);
    ProcessOutput(after, member, output);
    Keep(std::move(after), next);
  }

  void Crash(const ModelState& world,
             int member,
             std::vector<ModelState>& next) {
    if (world.m_crashes >= m_bounds.m_crashes) {
      return;
    }
    ModelState after = world;
    ++after.m_crashes;
    RaftState fresh;
    fresh.m_instance = Name(member);
    fresh.m_hard = after.m_disk_hard[member];
    fresh.m_log = after.m_disk_log[member];
    after.m_raft[member] = fresh;
    StartRaft(after.m_raft[member], 0, kNow);
    Keep(std::move(after), next);
  }

  void ProposeAt(const ModelState& world,
                 int member,
                 std::vector<ModelState>& next) {
    if (world.m_proposals >= m_bounds.m_proposals ||
        world.m_raft[member].m_role != RaftRole::kLeader) {
      return;
    }
    ModelState after = world;
    ++after.m_proposals;
    RaftOutput output;
    (void)Propose(after.m_raft[member], EntryKind::kChange,
                  std::to_string(after.m_proposals), kNow, output);
    ProcessOutput(after, member, output);
    Keep(std::move(after), next);
  }

  void Deliver(const ModelState& world,
               std::size_t flight,
               bool keep,
               std::vector<ModelState>& next) {
    ModelState after = world;
    const InFlightMessage delivered = after.m_in_flight_messages[flight];
    if (keep) {
      ++after.m_duplicates;
    } else {
      after.m_in_flight_messages.erase(after.m_in_flight_messages.begin() +
                                       static_cast<long>(flight));
    }
    RaftState& raft = after.m_raft[delivered.m_to];
    // Whoever could be disturbed by a candidate may be: the time since the
    // leader was heard is left out.
    raft.m_leader_heard_at = Millis(-1e12);
    RaftOutput output;
    HandleRaftMessage(raft, delivered.m_message, 0, kNow, output);
    raft.m_leader_heard_at = Millis(-1e12);
    ProcessOutput(after, delivered.m_to, output);
    Keep(std::move(after), next);
  }

  Bounds m_bounds;
};

void RunBounded(const Bounds& bounds) {
  Explorer explorer(bounds);
  explorer.Explore();
  std::cout << explorer.m_visited.size() << " states, depth "
            << explorer.m_depth << " complete, "
            << explorer.m_states_with_commit << " with a committed change\n";
  EXPECT_EQ(explorer.m_violation, "");
  EXPECT_GT(explorer.m_states_with_commit, 0U);
}

TEST(RaftExploration, OneCandidateWithLossAndDuplicates) {
  RunBounded({14, 0, 1, 1, 1, 60'000});
}

TEST(RaftExploration, TwoCandidatesWithOneCrash) {
  RunBounded({16, 1, 2, 0, 0, 60'000});
}

}  // namespace
}  // namespace hemlockpoint
