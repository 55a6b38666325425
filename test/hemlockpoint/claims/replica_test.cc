#include "hemlockpoint/claims/replica.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

const ServiceName kService("sales");

ClaimReplicaSet MakeSet(std::uint64_t epoch, int replicas) {
  ClaimReplicaSet set;
  set.m_service = kService;
  set.m_epoch = epoch;
  for (int i = 0; i < replicas; ++i) {
    set.m_members.push_back({NodeId("r" + std::to_string(i)), "", 1, 1});
  }
  return set;
}

ClaimRequest MakeClaim(const std::string& key, std::uint64_t session) {
  ClaimRequest request;
  request.m_service = kService;
  request.m_epoch = 1;
  request.m_key = key;
  request.m_claimant = {NodeId("n"), 1, session};
  return request;
}

ClaimReplica MakeFounder(int number) {
  return StartReplica({NodeId("r" + std::to_string(number)), 1}, MakeSet(1, 3),
                      Millis(0));
}

TEST(ClaimReplica, GrantsAKeyOnce) {
  ClaimReplica replica = MakeFounder(0);
  EXPECT_EQ(HandleClaim(replica, MakeClaim("k", 1), Millis(0)).m_verdict,
            ClaimVerdict::kGranted);
  const auto second = HandleClaim(replica, MakeClaim("k", 2), Millis(1));
  EXPECT_EQ(second.m_verdict, ClaimVerdict::kHeld);
  EXPECT_EQ(second.m_holder.m_session, 1U);
  EXPECT_EQ(HandleClaim(replica, MakeClaim("k", 1), Millis(2)).m_verdict,
            ClaimVerdict::kGranted);
}

TEST(ClaimReplica, FreesAReleasedKey) {
  ClaimReplica replica = MakeFounder(0);
  (void)HandleClaim(replica, MakeClaim("k", 1), Millis(0));
  ClaimRequest release = MakeClaim("k", 1);
  release.m_step = ClaimStep::kRelease;
  (void)HandleClaim(replica, release, Millis(1));
  EXPECT_EQ(HandleClaim(replica, MakeClaim("k", 2), Millis(2)).m_verdict,
            ClaimVerdict::kGranted);
}

TEST(ClaimReplica, StoresResponse) {
  ClaimReplica replica = MakeFounder(0);
  (void)HandleClaim(replica, MakeClaim("k", 1), Millis(0));
  ClaimRequest complete = MakeClaim("k", 1);
  complete.m_step = ClaimStep::kComplete;
  complete.m_response.m_data = "booked";
  (void)HandleClaim(replica, complete, Millis(1));
  const auto held = HandleClaim(replica, MakeClaim("k", 2), Millis(2));
  EXPECT_EQ(held.m_phase, ClaimPhase::kAnswered);
  EXPECT_EQ(held.m_response.m_data, "booked");
}

TEST(ClaimReplica, RestartedReplicaAbstainsUntilSynced) {
  ClaimReplica a = MakeFounder(0);
  ClaimReplica b = MakeFounder(1);
  for (int i = 0; i < 150; ++i) {
    (void)HandleClaim(a, MakeClaim("k" + std::to_string(i), 1), Millis(0));
  }
  ClaimReplica restarted =
      StartReplica({NodeId("r2"), 2}, MakeSet(1, 3), Millis(10));
  EXPECT_EQ(HandleClaim(restarted, MakeClaim("k1", 2), Millis(10)).m_verdict,
            ClaimVerdict::kAbstain);
  int messages = 0;
  while (!restarted.m_valid && messages < 100) {
    for (const auto& [source, sync] : PendingSyncRequests(restarted)) {
      ClaimReplica& from = source == NodeId("r0") ? a : b;
      ApplySyncReply(restarted, HandleSyncRequest(from, sync, Millis(11)),
                     Millis(11));
      ++messages;
    }
  }
  EXPECT_TRUE(restarted.m_valid);
  EXPECT_EQ(HandleClaim(restarted, MakeClaim("k149", 2), Millis(12)).m_verdict,
            ClaimVerdict::kHeld);
}

TEST(ClaimReplica, RestartedReplicaGrantsAfterRetentionPeriod) {
  ClaimReplica restarted =
      StartReplica({NodeId("r2"), 2}, MakeSet(1, 3), Millis(0));
  TickReplica(restarted, kClaimRetention);
  EXPECT_FALSE(restarted.m_valid);
  TickReplica(restarted, kClaimRetention + Millis(1));
  EXPECT_TRUE(restarted.m_valid);
}

TEST(ClaimReplica, RejectsOldEpoch) {
  ClaimReplica replica = MakeFounder(0);
  AdoptClaimSet(replica, MakeSet(2, 3), Millis(0));
  EXPECT_EQ(HandleClaim(replica, MakeClaim("k", 1), Millis(1)).m_verdict,
            ClaimVerdict::kStaleEpoch);
}

TEST(ClaimReplica, RejoinedReplicaMustSyncAgain) {
  ClaimReplica replica = MakeFounder(0);
  ClaimReplicaSet rejoined = MakeSet(3, 3);
  rejoined.m_members[0].m_joined_epoch = 3;
  AdoptClaimSet(replica, rejoined, Millis(0));
  EXPECT_FALSE(replica.m_valid);
}

TEST(ClaimReplica, LimitsClaimCount) {
  ClaimReplica replica = MakeFounder(0);
  for (std::size_t i = 0; i < kMaxClaims; ++i) {
    (void)HandleClaim(replica, MakeClaim("k" + std::to_string(i), 1),
                      Millis(0));
  }
  EXPECT_EQ(HandleClaim(replica, MakeClaim("one more", 1), Millis(1)).m_verdict,
            ClaimVerdict::kFull);
  TickReplica(replica, kClaimRetention);
  EXPECT_TRUE(replica.m_claims.empty());
}

}  // namespace
}  // namespace hemlockpoint
