#ifndef HEMLOCKPOINT_RETRY_RESEND_H_
#define HEMLOCKPOINT_RETRY_RESEND_H_

#include <cstdint>
#include <list>
#include <optional>
#include <unordered_map>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/retry/budget.h"

namespace hemlockpoint {

/// @brief Maximum number of failed requests in a table. The one that failed
/// first is evicted first.
inline constexpr std::size_t kMaxFailedRequests = 8192;
/// @brief Maximum number of token buckets in a table, including the one that
/// all further callers share.
inline constexpr std::size_t kMaxCallers = 1024;

/// @brief Time after a failure within which an equal request counts as a
/// resend.
inline constexpr Millis kResendWindow(10'000);

/// @brief A request that failed recently.
struct FailedRequest {
  /// Failures without a resend so far. Each resend accounts for one of them;
  /// equal requests beyond that number are not resends.
  std::uint64_t m_count = 1;
  /// Id of the root request.
  RequestId m_root;
  Millis m_failed_at;
  /// Time from which a resend is not charged, provided that m_not_run is set.
  Millis m_uncharged_from;
  /// The request was not sent to any target.
  bool m_not_run = false;
};

/// @brief Recently failed requests, and the token buckets of their callers.
struct ResendTable {
  std::unordered_map<Fingerprint, FailedRequest> m_failures;
  /// Fingerprints in order of insertion, the oldest first. It may contain
  /// fingerprints that are no longer in m_failures.
  std::list<Fingerprint> m_order;
  std::unordered_map<CallerName, RetryTokenBucket> m_callers;
};

/// @brief Decision on a new request.
struct ResendDecision {
  bool m_allowed = true;
  bool m_is_resend = false;
  /// For a resend, the root id of the failed request. The resend takes it over,
  /// so that hops which shed by root id decide as they did before.
  std::optional<RequestId> m_root;
};

/// @brief Detects a resend by the content of a request. A resend costs its
/// caller a token, unless the failed request was not run and the caller has
/// waited for the Retry-After delay. Any other request adds tokens.
/// @param request Fingerprint of the request, computed from its content.
/// @param ratio Resends allowed per request of the caller.
[[nodiscard]] ResendDecision EvaluateResend(ResendTable& table,
                                            const CallerName& caller,
                                            Fingerprint request,
                                            double ratio,
                                            Millis now);

/// @brief Records a failed request. If the request is already in the table, its
/// count grows by one and its other values are replaced.
void RecordFailedRequest(ResendTable& table,
                         Fingerprint request,
                         const FailedRequest& failure);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RETRY_RESEND_H_
