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

TEST(ClaimAttempt, IsAcquiredWithMajority) {
  ClaimAttempt attempt = MakeAttempt();
  RecordReply(attempt, MakeReply("a", ClaimVerdict::kGranted));
  EXPECT_EQ(EvaluateAttempt(attempt), ClaimAttemptState::kPending);
  RecordReply(attempt, MakeReply("a", ClaimVerdict::kGranted));
  EXPECT_EQ(EvaluateAttempt(attempt), ClaimAttemptState::kPending);
  RecordReply(attempt, MakeReply("b", ClaimVerdict::kGranted));
  EXPECT_EQ(EvaluateAttempt(attempt), ClaimAttemptState::kAcquired);
}

TEST(ClaimAttempt, IsHeldWhenMajorityIsImpossible) {
  ClaimAttempt attempt = MakeAttempt();
  RecordReply(attempt, MakeReply("a", ClaimVerdict::kHeld));
  EXPECT_EQ(EvaluateAttempt(attempt), ClaimAttemptState::kPending);
  RecordReply(attempt, MakeReply("b", ClaimVerdict::kHeld));
  EXPECT_EQ(EvaluateAttempt(attempt), ClaimAttemptState::kHeld);
}

TEST(ClaimAttempt, IsUnavailableWhenMajorityAbstains) {
  ClaimAttempt attempt = MakeAttempt();
  RecordReply(attempt, MakeReply("a", ClaimVerdict::kAbstain));
  RecordReply(attempt, MakeReply("b", ClaimVerdict::kAbstain));
  EXPECT_EQ(EvaluateAttempt(attempt), ClaimAttemptState::kUnavailable);
}

TEST(ClaimAttempt, GrantOfEarlierIncarnationDoesNotCount) {
  ClaimAttempt attempt = MakeAttempt();
  RecordReply(attempt, MakeReply("a", ClaimVerdict::kGranted, 1));
  ClaimReply other = MakeReply("b", ClaimVerdict::kGranted);
  other.m_known = {{NodeId("a"), 2}};
  RecordReply(attempt, other);
  EXPECT_EQ(EvaluateAttempt(attempt), ClaimAttemptState::kPending);
}

TEST(ClaimAttempt, GrantOfAnotherEpochDoesNotCount) {
  ClaimAttempt attempt = MakeAttempt();
  ClaimReply reply = MakeReply("a", ClaimVerdict::kGranted);
  reply.m_epoch = 2;
  RecordReply(attempt, reply);
  RecordReply(attempt, MakeReply("b", ClaimVerdict::kGranted));
  EXPECT_EQ(EvaluateAttempt(attempt), ClaimAttemptState::kPending);
}

}  // namespace
}  // namespace hemlockpoint
