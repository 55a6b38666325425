// Bounded exhaustive exploration (model checking) of the claim functions that
// run in production: two claimants of one key and three replicas without disks,
// with every order of deliveries, losses, duplicated messages, restarts and
// syncs. The two claimants must never both acquire the key.

#include <gtest/gtest.h>

#include <iostream>
#include <set>
#include <vector>

#include "hemlockpoint/base/digest.h"
#include "hemlockpoint/claims/attempt.h"
#include "hemlockpoint/claims/replica.h"
#include "hemlockpoint/wire/codec.h"

namespace hemlockpoint {
namespace {

constexpr int kReplicas = 3;
constexpr int kClaimants = 2;
constexpr Millis kNow(1000);
const ServiceName kService("sales");

struct InFlightMessage {
  /// Index of the receiving replica, or kReplicas plus the index of the
  /// receiving claimant.
  int m_to = 0;
  Message m_message;
};

/// All replicas, claimants and messages at one point of the exploration.
struct ModelState {
  ClaimReplica m_replicas[kReplicas];
  ClaimAttempt m_attempts[kClaimants];
  bool m_owned[kClaimants] = {};
  std::vector<InFlightMessage> m_in_flight_messages;
  int m_restarts = 0;
  int m_duplicates = 0;
  int m_syncs = 0;
};

/// Maximum number of events of each kind on one path, and of states in all.
struct ExplorationLimits {
  int m_restarts = 0;
  int m_duplicates = 0;
  int m_syncs = 0;
  std::size_t m_max_states = 0;
  /// Each of these disables one safety rule, to show that the exploration
  /// detects the violation.
  bool m_drop_known_incarnations = false;
  bool m_skip_sync = false;
};

NodeId ReplicaName(int number) {
  return NodeId("r" + std::to_string(number));
}

ClaimReplicaSet MakeSet() {
  ClaimReplicaSet set;
  set.m_service = kService;
  set.m_epoch = 1;
  for (int i = 0; i < kReplicas; ++i) {
    set.m_members.push_back({ReplicaName(i), "", 1, 1});
  }
  return set;
}

ModelState MakeInitialState() {
  ModelState state;
  for (int i = 0; i < kReplicas; ++i) {
    state.m_replicas[i] =
        StartReplica({ReplicaName(i), 1}, MakeSet(), Millis(0));
  }
  for (int c = 0; c < kClaimants; ++c) {
    state.m_attempts[c].m_epoch = 1;
    state.m_attempts[c].m_replicas = kReplicas;
    for (int i = 0; i < kReplicas; ++i) {
      ClaimRequest request;
      request.m_number = static_cast<std::uint64_t>(c);
      request.m_service = kService;
      request.m_epoch = 1;
      request.m_key = "k";
      request.m_claimant = {NodeId("n"), 1, static_cast<std::uint64_t>(c)};
      state.m_in_flight_messages.push_back({i, request});
    }
  }
  return state;
}

std::string Fingerprint(const ModelState& state) {
  std::string text;
  for (const ClaimReplica& replica : state.m_replicas) {
    text += std::to_string(replica.m_self.m_incarnation) +
            (replica.m_valid ? "v" : "-");
    for (const auto& [key, claim] : replica.m_claims) {
      text += std::to_string(claim.m_claimant.m_session);
    }
    for (const auto& [node, incarnation] : replica.m_known_incarnations) {
      text += node.value() + std::to_string(incarnation);
    }
    for (const NodeId& node : replica.m_synced_sources) {
      text += "c" + node.value();
    }
    text += "|";
  }
  std::multiset<std::string> encoded_messages;
  for (int c = 0; c < kClaimants; ++c) {
    text += state.m_owned[c] ? "O" : "-";
    for (const auto& [node, reply] : state.m_attempts[c].m_replies) {
      text += EncodeMessage(reply);
    }
  }
  for (const InFlightMessage& in_flight : state.m_in_flight_messages) {
    encoded_messages.insert(std::to_string(in_flight.m_to) +
                            EncodeMessage(in_flight.m_message));
  }
  for (const std::string& encoded_message : encoded_messages) {
    text += encoded_message;
  }
  return text + std::to_string(state.m_restarts) + "," +
         std::to_string(state.m_duplicates) + "," +
         std::to_string(state.m_syncs);
}

class Explorer {
 public:
  explicit Explorer(const ExplorationLimits& limits) : m_limits(limits) {}

  void Explore() {
    std::vector<ModelState> pending;
    AddState(MakeInitialState(), pending);
    while (!pending.empty() && !m_has_two_owners &&
           m_visited.size() < m_limits.m_max_states) {
      const ModelState state = std::move(pending.back());
      pending.pop_back();
      Expand(state, pending);
    }
    m_complete = pending.empty();
  }

  bool m_has_two_owners = false;
  bool m_complete = false;
  std::size_t m_states_with_owner = 0;
  std::set<std::uint64_t> m_visited;

 private:
  void AddState(ModelState state, std::vector<ModelState>& pending) {
    m_has_two_owners =
        m_has_two_owners || (state.m_owned[0] && state.m_owned[1]);
    if (m_visited.insert(ComputeDigest({Fingerprint(state)}).value()).second) {
      m_states_with_owner += state.m_owned[0] || state.m_owned[1] ? 1 : 0;
      pending.push_back(std::move(state));
    }
  }

  void Expand(const ModelState& state, std::vector<ModelState>& pending) {
    for (std::size_t i = 0; i < state.m_in_flight_messages.size(); ++i) {
      Deliver(state, i, false, pending);
      if (state.m_duplicates < m_limits.m_duplicates) {
        Deliver(state, i, true, pending);
      }
      // A lost message needs no step of its own: it is one that is never
      // delivered.
    }
    for (int i = 0; i < kReplicas; ++i) {
      Restart(state, i, pending);
      RequestSync(state, i, pending);
    }
  }

  void Restart(const ModelState& state,
               int number,
               std::vector<ModelState>& pending) {
    if (state.m_restarts >= m_limits.m_restarts) {
      return;
    }
    ModelState after = state;
    ++after.m_restarts;
    const std::uint64_t incarnation =
        state.m_replicas[number].m_self.m_incarnation + 1;
    after.m_replicas[number] =
        StartReplica({ReplicaName(number), incarnation}, MakeSet(), kNow);
    if (m_limits.m_skip_sync) {
      after.m_replicas[number].m_valid = true;
    }
    AddState(std::move(after), pending);
  }

  void RequestSync(const ModelState& state,
                   int number,
                   std::vector<ModelState>& pending) {
    const auto syncs = PendingSyncRequests(state.m_replicas[number]);
    if (syncs.empty() || state.m_syncs >= m_limits.m_syncs) {
      return;
    }
    ModelState after = state;
    ++after.m_syncs;
    for (const auto& [source, sync] : syncs) {
      after.m_in_flight_messages.push_back({source.value()[1] - '0', sync});
    }
    AddState(std::move(after), pending);
  }

  void Deliver(const ModelState& state,
               std::size_t message_index,
               bool is_duplicate,
               std::vector<ModelState>& pending) {
    ModelState after = state;
    const InFlightMessage delivered = after.m_in_flight_messages[message_index];
    if (is_duplicate) {
      ++after.m_duplicates;
    } else {
      after.m_in_flight_messages.erase(after.m_in_flight_messages.begin() +
                                       static_cast<long>(message_index));
    }
    if (const auto* claim = std::get_if<ClaimRequest>(&delivered.m_message)) {
      ClaimReply reply =
          HandleClaim(after.m_replicas[delivered.m_to], *claim, kNow);
      if (m_limits.m_drop_known_incarnations) {
        reply.m_known.clear();
      }
      after.m_in_flight_messages.push_back(
          {kReplicas + static_cast<int>(claim->m_number), reply});
    } else if (const auto* reply =
                   std::get_if<ClaimReply>(&delivered.m_message)) {
      const int claimant = delivered.m_to - kReplicas;
      if (!after.m_owned[claimant]) {
        RecordReply(after.m_attempts[claimant], *reply);
        after.m_owned[claimant] = EvaluateAttempt(after.m_attempts[claimant]) ==
                                  ClaimAttemptState::kAcquired;
      }
    } else if (const auto* sync =
                   std::get_if<ClaimSyncRequest>(&delivered.m_message)) {
      const int requester = sync->m_replica.m_node.value()[1] - '0';
      after.m_in_flight_messages.push_back(
          {requester,
           HandleSyncRequest(after.m_replicas[delivered.m_to], *sync, kNow)});
    } else if (const auto* rows =
                   std::get_if<ClaimSyncReply>(&delivered.m_message)) {
      (void)ApplySyncReply(after.m_replicas[delivered.m_to], *rows, kNow);
    }
    AddState(std::move(after), pending);
  }

  ExplorationLimits m_limits;
};

Explorer RunExplorer(const ExplorationLimits& limits) {
  Explorer explorer(limits);
  explorer.Explore();
  std::cout << explorer.m_visited.size() << " states, "
            << (explorer.m_complete ? "complete" : "cut off") << ", "
            << explorer.m_states_with_owner << " with an owner\n";
  return explorer;
}

constexpr std::size_t kMaxStates = 100'000;

TEST(ClaimExploration, TwoClaimantsWithDuplicatedMessages) {
  const Explorer explorer = RunExplorer({0, 1, 0, kMaxStates * 3});
  EXPECT_FALSE(explorer.m_has_two_owners);
  EXPECT_TRUE(explorer.m_complete);
  EXPECT_GT(explorer.m_states_with_owner, 0U);
}

TEST(ClaimExploration, ReplicaRestartsAndSyncs) {
  const Explorer explorer = RunExplorer({1, 0, 1, kMaxStates});
  EXPECT_FALSE(explorer.m_has_two_owners);
  EXPECT_GT(explorer.m_states_with_owner, 0U);
}

// A restarted replica that skips the sync grants the key a second time.
TEST(ClaimExploration, DetectsSkippedSync) {
  ExplorationLimits limits{1, 0, 1, kMaxStates};
  limits.m_skip_sync = true;
  EXPECT_TRUE(RunExplorer(limits).m_has_two_owners);
}

// When replies don't carry the known incarnations, a grant of an earlier
// incarnation of a replica counts together with a grant that another replica
// gave after the restarted one had synced from it.
TEST(ClaimExploration, DetectsDroppedKnownIncarnations) {
  ExplorationLimits limits{1, 0, 1, kMaxStates * 5};
  limits.m_drop_known_incarnations = true;
  EXPECT_TRUE(RunExplorer(limits).m_has_two_owners);
}

}  // namespace
}  // namespace hemlockpoint
