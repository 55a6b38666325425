#include "hemlockpoint/claims/attempt.h"

#include "hemlockpoint/claims/replica.h"

namespace hemlockpoint {

namespace {

bool IsSuperseded(const ClaimAttempt& attempt,
                  const ReplicaIncarnation& replica) {
  for (const auto& [node, reply] : attempt.m_replies) {
    for (const ReplicaIncarnation& known : reply.m_known) {
      if (known.m_node == replica.m_node &&
          known.m_incarnation > replica.m_incarnation) {
        return true;
      }
    }
  }
  return false;
}

std::size_t CountGrants(const ClaimAttempt& attempt) {
  std::size_t grants = 0;
  for (const auto& [node, reply] : attempt.m_replies) {
    const bool granted = reply.m_verdict == ClaimVerdict::kGranted &&
                         reply.m_epoch == attempt.m_epoch &&
                         !IsSuperseded(attempt, reply.m_replica);
    grants += granted ? 1 : 0;
  }
  return grants;
}

}  // namespace

void RecordReply(ClaimAttempt& attempt, const ClaimReply& reply) {
  attempt.m_replies[reply.m_replica.m_node] = reply;
}

ClaimAttemptState EvaluateAttempt(const ClaimAttempt& attempt) {
  const std::size_t majority = MajoritySize(attempt.m_replicas);
  const std::size_t grants = CountGrants(attempt);
  if (grants >= majority) {
    return ClaimAttemptState::kAcquired;
  }
  const std::size_t outstanding = attempt.m_replicas - attempt.m_replies.size();
  if (grants + outstanding >= majority) {
    return ClaimAttemptState::kPending;
  }
  return FindHolderReply(attempt) != nullptr ? ClaimAttemptState::kHeld
                                             : ClaimAttemptState::kUnavailable;
}

const ClaimReply* FindHolderReply(const ClaimAttempt& attempt) {
  const ClaimReply* best = nullptr;
  for (const auto& [node, reply] : attempt.m_replies) {
    if (reply.m_verdict != ClaimVerdict::kHeld) {
      continue;
    }
    const bool is_more_specific = best == nullptr ||
                                  (best->m_phase == ClaimPhase::kRunning &&
                                   reply.m_phase != ClaimPhase::kRunning) ||
                                  (best->m_phase == ClaimPhase::kUnknown &&
                                   reply.m_phase == ClaimPhase::kAnswered);
    if (is_more_specific) {
      best = &reply;
    }
  }
  return best;
}

}  // namespace hemlockpoint
