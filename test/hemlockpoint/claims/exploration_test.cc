// Bounded exhaustive exploration of the claim rules: two claimants of one key
// and three replicas without disks, with every order of deliveries, losses,
// doubled messages, restarts and copies, over the functions that run in
// production. Two claimants must never both own the key.

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
  /// Below kReplicas a replica, from there on a claimant.
  int m_to = 0;
  Message m_message;
};

struct ModelState {
  ClaimReplica m_replicas[kReplicas];
  ClaimAttempt m_attempts[kClaimants];
  bool m_owned[kClaimants] = {};
  std::vector<InFlightMessage> m_in_flight_messages;
  int m_restarts = 0;
  int m_duplicates = 0;
  int m_syncs = 0;
};

struct Bounds {
  int m_restarts = 0;
  int m_duplicates = 0;
  int m_syncs = 0;
  std::size_t m_states = 0;
  /// Switches that take one rule away, to see that the exploration notices.
  bool m_drop_known_incarnations = false;
  bool m_skip_sync = false;
};

NodeId ReplicaName(int number) {
  return NodeId("r" + std::to_string(number));
}

ClaimSet MakeSet() {
  ClaimSet set;
  set.m_service = kService;
  set.m_epoch = 1;
  for (int i = 0; i < kReplicas; ++i) {
    set.m_members.push_back({ReplicaName(i), "", 1, 1});
  }
  return set;
}

ModelState MakeInitialState() {
  ModelState world;
  for (int i = 0; i < kReplicas; ++i) {
    world.m_replicas[i] =
        StartReplica({ReplicaName(i), 1}, MakeSet(), Millis(0));
  }
  for (int c = 0; c < kClaimants; ++c) {
    world.m_attempts[c].m_epoch = 1;
    world.m_attempts[c].m_replicas = kReplicas;
    for (int i = 0; i < kReplicas; ++i) {
      ClaimRequest request;
      request.m_number = static_cast<std::uint64_t>(c);
      request.m_service = kService;
      request.m_epoch = 1;
      request.m_key = "k";
      request.m_claimant = {NodeId("n"), 1, static_cast<std::uint64_t>(c)};
      world.m_in_flight_messages.push_back({i, request});
    }
  }
  return world;
}

std::string Fingerprint(const ModelState& world) {
  std::string text;
  for (const ClaimReplica& replica : world.m_replicas) {
    text += std::to_string(replica.m_self.m_incarnation) +
            (replica.m_valid ? "v" : "-");
    for (const auto& [key, claim] : replica.m_claims) {
      text += std::to_string(claim.m_claimant.m_session);
    }
    for (const auto& [node, life] : replica.m_known) {
      text += node.value() + std::to_string(life);
    }
    for (const NodeId& node : replica.m_synced_sources) {
      text += "c" + node.value();
    }
    text += "|";
  }
  std::multiset<std::string> parts;
  for (int c = 0; c < kClaimants; ++c) {
    text += world.m_owned[c] ? "O" : "-";
    for (const auto& [node, reply] : world.m_attempts[c].m_replies) {
      text += EncodeMessage(reply);
    }
  }
  for (const InFlightMessage& flight : world.m_in_flight_messages) {
    parts.insert(std::to_string(flight.m_to) + EncodeMessage(flight.m_message));
  }
  for (const std::string& part : parts) {
    text += part;
  }
  return text + std::to_string(world.m_restarts) + "," +
         std::to_string(world.m_duplicates) + "," +
         std::to_string(world.m_syncs);
}

class Explorer {
 public:
  explicit Explorer(const Bounds& bounds) : m_bounds(bounds) {}

  void Explore() {
    std::vector<ModelState> open;
    Keep(MakeInitialState(), open);
    while (!open.empty() && !m_has_two_owners &&
           m_visited.size() < m_bounds.m_states) {
      const ModelState world = std::move(open.back());
      open.pop_back();
      Expand(world, open);
    }
    m_complete = open.empty();
  }

  bool m_has_two_owners = false;
  bool m_complete = false;
  std::size_t m_states_with_owner = 0;
  std::set<std::uint64_t> m_visited;

 private:
  void Keep(ModelState world, std::vector<ModelState>& open) {
    m_has_two_owners =
        m_has_two_owners || (world.m_owned[0] && world.m_owned[1]);
    if (m_visited.insert(DigestOf({Fingerprint(world)}).value()).second) {
      m_states_with_owner += world.m_owned[0] || world.m_owned[1] ? 1 : 0;
      open.push_back(std::move(world));
    }
  }

  void Expand(const ModelState& world, std::vector<ModelState>& open) {
    for (std::size_t i = 0; i < world.m_in_flight_messages.size(); ++i) {
      Deliver(world, i, false, open);
      if (world.m_duplicates < m_bounds.m_duplicates) {
        Deliver(world, i, true, open);
      }
      // A loss is a delivery that never comes, which every state allows.
    }
    for (int i = 0; i < kReplicas; ++i) {
      Restart(world, i, open);
      RequestSync(world, i, open);
    }
  }

  void Restart(const ModelState& world,
               int number,
               std::vector<ModelState>& open) {
    if (world.m_restarts >= m_bounds.m_restarts) {
      return;
    }
    ModelState after = world;
    ++after.m_restarts;
    const std::uint64_t life =
        world.m_replicas[number].m_self.m_incarnation + 1;
    after.m_replicas[number] =
        StartReplica({ReplicaName(number), life}, MakeSet(), kNow);
    if (m_bounds.m_skip_sync) {
      after.m_replicas[number].m_valid = true;
    }
    Keep(std::move(after), open);
  }

  void RequestSync(const ModelState& world,
                   int number,
                   std::vector<ModelState>& open) {
    const auto syncs = PendingSyncRequests(world.m_replicas[number]);
    if (syncs.empty() || world.m_syncs >= m_bounds.m_syncs) {
      return;
    }
    ModelState after = world;
    ++after.m_syncs;
    for (const auto& [source, sync] : syncs) {
      after.m_in_flight_messages.push_back({source.value()[1] - '0', sync});
    }
    Keep(std::move(after), open);
  }

  void Deliver(const ModelState& world,
               std::size_t flight,
               bool keep,
               std::vector<ModelState>& open) {
    ModelState after = world;
    const InFlightMessage delivered = after.m_in_flight_messages[flight];
    if (keep) {
      ++after.m_duplicates;
    } else {
      after.m_in_flight_messages.erase(after.m_in_flight_messages.begin() +
                                       static_cast<long>(flight));
    }
    if (const auto* claim = std::get_if<ClaimRequest>(&delivered.m_message)) {
      ClaimReply reply =
          HandleClaim(after.m_replicas[delivered.m_to], *claim, kNow);
      if (m_bounds.m_drop_known_incarnations) {
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
                   std::get_if<ClaimSync>(&delivered.m_message)) {
      const int asker = sync->m_replica.m_node.value()[1] - '0';
      after.m_in_flight_messages.push_back(
          {asker,
           HandleSyncRequest(after.m_replicas[delivered.m_to], *sync, kNow)});
    } else if (const auto* rows =
                   std::get_if<ClaimSyncReply>(&delivered.m_message)) {
      (void)ApplySyncReply(after.m_replicas[delivered.m_to], *rows, kNow);
    }
    Keep(std::move(after), open);
  }

  Bounds m_bounds;
};

Explorer RunExplorer(const Bounds& bounds) {
  Explorer explorer(bounds);
  explorer.Explore();
  std::cout << explorer.m_visited.size() << " states, "
            << (explorer.m_complete ? "complete" : "cut off") << ", "
            << explorer.m_states_with_owner << " with an owner\n";
  return explorer;
}

constexpr std::size_t kStates = 100'000;

TEST(ClaimExploration, TwoClaimantsWithDuplicatedMessages) {
  const Explorer explorer = RunExplorer({0, 1, 0, kStates * 3});
  EXPECT_FALSE(explorer.m_has_two_owners);
  EXPECT_TRUE(explorer.m_complete);
  EXPECT_GT(explorer.m_states_with_owner, 0U);
}

TEST(ClaimExploration, ReplicaRestartsAndSyncs) {
  const Explorer explorer = RunExplorer({1, 0, 1, kStates});
  EXPECT_FALSE(explorer.m_has_two_owners);
  EXPECT_GT(explorer.m_states_with_owner, 0U);
}

// Without the copy a restarted replica grants the key again.
TEST(ClaimExploration, DetectsSkippedSync) {
  Bounds bounds{1, 0, 1, kStates};
  bounds.m_skip_sync = true;
  EXPECT_TRUE(RunExplorer(bounds).m_has_two_owners);
}

// Without the lives in the replies, a grant of a former life counts together
// with one that was given after the copy.
TEST(ClaimExploration, DetectsDroppedKnownIncarnations) {
  Bounds bounds{1, 0, 1, kStates * 5};
  bounds.m_drop_known_incarnations = true;
  EXPECT_TRUE(RunExplorer(bounds).m_has_two_owners);
}

}  // namespace
}  // namespace hemlockpoint
