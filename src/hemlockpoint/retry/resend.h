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

/// @brief Failed requests remembered at most, and callers counted at most.
inline constexpr std::size_t kMaxFailedRequests = 8192;
inline constexpr std::size_t kMaxCallers = 1024;

/// @brief How long a request counts as a resend of a failed one.
inline constexpr Millis kResendWindow(10'000);

/// @brief A request that failed lately.
struct FailedRequest {
  /// Failures that no resend has answered yet. Equal requests beyond these
  /// are requests of their own.
  std::uint64_t m_count = 1;
  RequestId m_root;
  Millis m_failed_at;
  /// Earliest time for a resend that costs the caller nothing.
  Millis m_uncharged_from;
  /// No target was handed the request.
  bool m_not_run = false;
};

/// @brief A caller's requests that failed lately, and what each caller may
/// still repeat.
struct ResendTable {
  std::unordered_map<Fingerprint, FailedRequest> m_failures;
  /// Fingerprints, the oldest first; may name forgotten ones.
  std::list<Fingerprint> m_order;
  std::unordered_map<CallerName, RetryTokenBucket> m_callers;
};

/// @brief What a new request is, as far as its caller's past tells.
struct ResendDecision {
  bool m_allowed = true;
  bool m_is_resend = false;
  /// The earlier request's id, so that hops which decide by root request
  /// decide as before.
  std::optional<RequestId> m_root;
};

/// @brief Judges a request by its content. A resend counts against its
/// caller's share, unless the earlier request was not run and the caller has
/// waited as it was told.
/// @param ratio The caller's resends allowed, as a share of its requests.
[[nodiscard]] ResendDecision EvaluateResend(ResendTable& table,
                                            const CallerName& caller,
                                            Fingerprint request,
                                            double ratio,
                                            Millis now);

/// @brief Remembers a failed request, once more if it is known.
void RecordFailedRequest(ResendTable& table,
                         Fingerprint request,
                         const FailedRequest& failure);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RETRY_RESEND_H_
