#include "hemlockpoint/retry/resend.h"

namespace hemlockpoint {

namespace {

// Callers beyond kMaxCallers share one bucket.
RetryTokenBucket& FindOrAddBucket(ResendTable& table,
                                  const CallerName& caller) {
  const auto found = table.m_callers.find(caller);
  if (found != table.m_callers.end()) {
    return found->second;
  }
  const bool is_full = table.m_callers.size() + 1 >= kMaxCallers;
  return table.m_callers[is_full ? CallerName("other") : caller];
}

}  // namespace

ResendDecision EvaluateResend(ResendTable& table,
                              const CallerName& caller,
                              Fingerprint request,
                              double ratio,
                              Millis now) {
  RetryTokenBucket& bucket = FindOrAddBucket(table, caller);
  ResendDecision decision;
  const auto found = table.m_failures.find(request);
  if (found == table.m_failures.end() ||
      now - found->second.m_failed_at > kResendWindow) {
    AddRetryTokens(bucket, ratio);
    return decision;
  }
  FailedRequest& failure = found->second;
  decision.m_is_resend = true;
  decision.m_root = failure.m_root;
  const bool is_uncharged =
      failure.m_not_run && now >= failure.m_uncharged_from;
  decision.m_allowed = is_uncharged || TakeRetryToken(bucket);
  if (--failure.m_count == 0) {
    // m_order keeps the fingerprint until it is evicted.
    table.m_failures.erase(found);
  }
  return decision;
}

void RecordFailedRequest(ResendTable& table,
                         Fingerprint request,
                         const FailedRequest& failure) {
  const auto found = table.m_failures.find(request);
  if (found != table.m_failures.end()) {
    const std::uint64_t count = found->second.m_count + 1;
    found->second = failure;
    found->second.m_count = count;
    return;
  }
  table.m_failures.emplace(request, failure);
  table.m_order.push_back(request);
  while (table.m_order.size() > kMaxFailedRequests) {
    table.m_failures.erase(table.m_order.front());
    table.m_order.pop_front();
  }
}

}  // namespace hemlockpoint
