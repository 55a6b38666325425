#include "hemlockpoint/retry/budget.h"

#include <algorithm>

namespace hemlockpoint {

namespace {

// Counts the attempt and says whether it repeats an earlier one. A call with
// too many different children can't hide repeats among them.
bool IsRepeat(CallBudget& budget, Fingerprint child) {
  const auto found = budget.m_children.find(child);
  if (found != budget.m_children.end()) {
    ++found->second;
    return true;
  }
  if (budget.m_children.size() >= kMaxChildren) {
    return true;
  }
  budget.m_children.emplace(child, 1);
  return false;
}

ChildGrant Lend(CallBudget& budget) {
  ChildGrant grant;
  grant.m_repeat = budget.m_repeat;
  if (!budget.m_repeat) {
    grant.m_extra_attempts = (budget.m_left + 1) / 2;
    budget.m_left -= grant.m_extra_attempts;
  }
  return grant;
}

}  // namespace

void EarnRepeat(RatioBucket& bucket, double ratio) {
  bucket.m_tokens = std::min(kMaxRatioTokens, bucket.m_tokens + ratio);
}

bool SpendRepeat(RatioBucket& bucket) {
  if (bucket.m_tokens < 1) {
    return false;
  }
  bucket.m_tokens -= 1;
  return true;
}

std::optional<ChildGrant> ChargeChild(CallBudget& budget,
                                      RatioBucket& bucket,
                                      Fingerprint child,
                                      double ratio) {
  if (!IsRepeat(budget, child)) {
    if (!budget.m_repeat) {
      EarnRepeat(bucket, ratio);
    }
    return Lend(budget);
  }
  const bool allowed =
      !budget.m_repeat && budget.m_left > 0 && SpendRepeat(bucket);
  if (!allowed) {
    return std::nullopt;
  }
  --budget.m_left;
  ++budget.m_spent;
  return ChildGrant{0, true};
}

ChildGrant RegrantChild(CallBudget& budget, const ChildGrant& grant) {
  return grant.m_repeat ? grant : Lend(budget);
}

void SettleChild(CallBudget& budget,
                 const ChildGrant& grant,
                 std::uint64_t spent) {
  const std::uint64_t used = std::min(spent, grant.m_extra_attempts);
  budget.m_left += grant.m_extra_attempts - used;
  budget.m_spent += used;
}

}  // namespace hemlockpoint
