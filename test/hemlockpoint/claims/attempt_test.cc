#include "hemlockpoint/claims/attempt.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

ClaimReply MakeReply(const char* node,
                     ClaimVerdict verdict,
                     std::uint64_t incarnation = 1) {
  ClaimReply reply;
  reply.m_replica = {NodeId(node), incarnation};
  reply.m_verdict = verdict;
  reply.m_epoch = 1;
  return reply;
}

ClaimAttempt MakeAttempt() {
  ClaimAttempt attempt;
  attempt.m_epoch = 1;
  attempt.m_replicas = 3;
  return attempt;
}

TEST(ClaimAttempt, IsOwnedWithAMajority) {
  ClaimAttempt attempt = MakeAttempt();
  RecordReply(attempt, MakeReply("a", ClaimVerdict::kGranted));
  EXPECT_EQ(Judge(attempt), AttemptState::kPending);
  RecordReply(attempt, MakeReply("a", ClaimVerdict::kGranted));
  EXPECT_EQ(Judge(attempt), AttemptState::kPending);
  RecordReply(attempt, MakeReply("b", ClaimVerdict::kGranted));
  EXPECT_EQ(Judge(attempt), AttemptState::kOwned);
}

TEST(ClaimAttempt, IsHeldWhenNoMajorityIsLeft) {
  ClaimAttempt attempt = MakeAttempt();
  RecordReply(attempt, MakeReply("a", ClaimVerdict::kHeld));
  EXPECT_EQ(Judge(attempt), AttemptState::kPending);
  RecordReply(attempt, MakeReply("b", ClaimVerdict::kHeld));
  EXPECT_EQ(Judge(attempt), AttemptState::kHeld);
}

TEST(ClaimAttempt, IsUnavailableWithoutAMajorityThatKnows) {
  ClaimAttempt attempt = MakeAttempt();
  RecordReply(attempt, MakeReply("a", ClaimVerdict::kAbstain));
  RecordReply(attempt, MakeReply("b", ClaimVerdict::kAbstain));
  EXPECT_EQ(Judge(attempt), AttemptState::kUnavailable);
}

TEST(ClaimAttempt, AGrantOfAFormerLifeIsVoid) {
  ClaimAttempt attempt = MakeAttempt();
  RecordReply(attempt, MakeReply("a", ClaimVerdict::kGranted, 1));
  ClaimReply other = MakeReply("b", ClaimVerdict::kGranted);
  other.m_known = {{NodeId("a"), 2}};
  RecordReply(attempt, other);
  EXPECT_EQ(Judge(attempt), AttemptState::kPending);
}

TEST(ClaimAttempt, AGrantOfAnotherEpochIsVoid) {
  ClaimAttempt attempt = MakeAttempt();
  ClaimReply reply = MakeReply("a", ClaimVerdict::kGranted);
  reply.m_epoch = 2;
  RecordReply(attempt, reply);
  RecordReply(attempt, MakeReply("b", ClaimVerdict::kGranted));
  EXPECT_EQ(Judge(attempt), AttemptState::kPending);
}

}  // namespace
}  // namespace hemlockpoint
