#include "hemlockpoint/retry/budget.h"

#include <algorithm>

namespace hemlockpoint {

namespace {

// Counts an attempt of a child call and returns whether it is a retry. With
// kMaxChildren distinct children, an attempt of any further child counts as a
// retry, so that retries can't be disguised as distinct calls.
bool RecordChildAttempt(RetryBudget& budget, Fingerprint child) {
  const auto found = budget.m_child_attempts.find(child);
  if (found != budget.m_child_attempts.end()) {
    ++found->second;
    return true;
  }
  if (budget.m_child_attempts.size() >= kMaxChildren) {
    return true;
  }
  budget.m_child_attempts.emplace(child, 1);
  return false;
}

ChildGrant GrantToChild(RetryBudget& budget) {
  ChildGrant grant;
  grant.m_is_retry = budget.m_is_retry;
  if (!budget.m_is_retry) {
    grant.m_extra_attempts = (budget.m_attempts_left + 1) / 2;
    budget.m_attempts_left -= grant.m_extra_attempts;
  }
  return grant;
}

}  // namespace

void AddRetryTokens(RetryTokenBucket& bucket, double ratio) {
  bucket.m_tokens = std::min(kMaxRetryTokens, bucket.m_tokens + ratio);
}

bool TakeRetryToken(RetryTokenBucket& bucket) {
  if (bucket.m_tokens < 1) {
    return false;
  }
  bucket.m_tokens -= 1;
  return true;
}

std::optional<ChildGrant> ChargeChildAttempt(RetryBudget& budget,
                                             RetryTokenBucket& bucket,
                                             Fingerprint child,
                                             double ratio) {
  if (!RecordChildAttempt(budget, child)) {
    if (!budget.m_is_retry) {
      AddRetryTokens(bucket, ratio);
    }
    return GrantToChild(budget);
  }
  const bool allowed = !budget.m_is_retry && budget.m_attempts_left > 0 &&
                       TakeRetryToken(bucket);
  if (!allowed) {
    return std::nullopt;
  }
  --budget.m_attempts_left;
  ++budget.m_spent;
  return ChildGrant{0, true};
}

ChildGrant RenewChildGrant(RetryBudget& budget, const ChildGrant& grant) {
  return grant.m_is_retry ? grant : GrantToChild(budget);
}

void SettleChildGrant(RetryBudget& budget,
                      const ChildGrant& grant,
                      std::uint64_t spent) {
  const std::uint64_t used = std::min(spent, grant.m_extra_attempts);
  budget.m_attempts_left += grant.m_extra_attempts - used;
  budget.m_spent += used;
}

}  // namespace hemlockpoint
