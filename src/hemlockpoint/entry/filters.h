#ifndef HEMLOCKPOINT_ENTRY_FILTERS_H_
#define HEMLOCKPOINT_ENTRY_FILTERS_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "hemlockpoint/entry/caller_request.h"
#include "hemlockpoint/outcome/refusal.h"
#include "hemlockpoint/policy/classify.h"
#include "hemlockpoint/quarantine/quarantine.h"
#include "hemlockpoint/retry/budget.h"
#include "hemlockpoint/retry/resend.h"
#include "hemlockpoint/routing/balancer.h"
#include "hemlockpoint/routing/thresholds.h"
#include "hemlockpoint/routing/throttle.h"

namespace hemlockpoint {

/// @brief Token bucket of one cap rule at one node.
struct CapBucket {
  double m_tokens = 0;
  /// Far in the past at first, so that a new bucket starts full.
  Millis m_updated{-1e12};
};

/// @brief State of the entry filters of one node.
struct EntryFilterState {
  /// Shared with the calls in flight: a call uses the same policy from start to
  /// end.
  std::shared_ptr<const Policy> m_policy;
  /// Balancers by service.
  std::map<ServiceName, Balancer> m_services;
  std::map<ServiceName, ThrottleState> m_throttles;
  /// Token buckets that bound the retries of this hop, by service.
  std::map<ServiceName, RetryTokenBucket> m_retry_buckets;
  ThresholdTable m_thresholds;
  /// Recently failed requests, and the token buckets that bound the resends of
  /// each caller.
  ResendTable m_resends;
  QuarantineTable m_quarantine;
  /// Token buckets of the cap rules by section and rule (see RuleName).
  std::map<std::pair<std::string, std::string>, CapBucket> m_caps;
  /// Disables all filters.
  bool m_pass_through = false;
};

/// @brief A call as its entry node, the node to which the caller sent it,
/// classifies and filters it.
struct EntryCall {
  std::shared_ptr<const Policy> m_policy;
  CallerRequest m_request;
  CallerName m_caller;
  CallClassification m_verdict;
  /// Id of the root request; for a resend, that of the failed request.
  RequestId m_root;
  KindName m_kind;
  std::size_t m_class = 0;
  /// Number of calls above this one in its call tree; 0 for a root request.
  std::uint64_t m_depth = 0;
  /// The call is the root request itself.
  bool m_is_root = true;
  /// Digest of the content alone: service, method, path and first body bytes.
  Fingerprint m_fingerprint;
  /// Digest of the content, the caller and the Idempotency-Key.
  Fingerprint m_resend_fingerprint;
  Millis m_arrived;
  Millis m_deadline;
  /// The request has a valid entry, suspected or quarantined, in the quarantine
  /// table: it was in flight when a target crashed.
  bool m_suspect = false;
};

/// @brief Decides whether an entry call is refused. It may also set fields of
/// the call.
/// @param random Uniform in [0, 1).
/// @return The refusal, or nothing if the call passes the filter.
using EntryFilter = std::optional<Refusal> (*)(EntryFilterState& state,
                                               EntryCall& call,
                                               double random,
                                               Millis now);

/// @brief Refuses calls that match a block rule.
[[nodiscard]] std::optional<Refusal> FilterBlocked(EntryFilterState& state,
                                                   EntryCall& call,
                                                   double random,
                                                   Millis now);

/// @brief Refuses calls whose depth (0 for a root request) reaches m_max_depth
/// of the policy.
[[nodiscard]] std::optional<Refusal> FilterDepth(EntryFilterState& state,
                                                 EntryCall& call,
                                                 double random,
                                                 Millis now);

/// @brief Refuses calls without an Idempotency-Key where a rule requires one.
[[nodiscard]] std::optional<Refusal> FilterMissingKey(EntryFilterState& state,
                                                      EntryCall& call,
                                                      double random,
                                                      Millis now);

/// @brief Refuses quarantined requests. Sets m_suspect for these and for
/// suspected ones.
[[nodiscard]] std::optional<Refusal> FilterQuarantine(EntryFilterState& state,
                                                      EntryCall& call,
                                                      double random,
                                                      Millis now);

/// @return Whether the call can be tied to one caller, and so can be, or have,
/// a resend: a root request with a caller name or a key. Equal requests that
/// have neither may come from different callers.
[[nodiscard]] bool IsAttributable(const EntryCall& call);

/// @brief Charges resends of failed root requests to the caller's budget and
/// refuses those that exceed it.
[[nodiscard]] std::optional<Refusal> FilterResend(EntryFilterState& state,
                                                  EntryCall& call,
                                                  double random,
                                                  Millis now);

/// @brief Refuses calls that exceed the rate of a cap rule.
[[nodiscard]] std::optional<Refusal> FilterCap(EntryFilterState& state,
                                               EntryCall& call,
                                               double random,
                                               Millis now);

/// @brief Refuses calls whose rank exceeds the last threshold that each usable
/// target has reported, since every target would shed them. A few calls pass as
/// probes.
[[nodiscard]] std::optional<Refusal> FilterThreshold(EntryFilterState& state,
                                                     EntryCall& call,
                                                     double random,
                                                     Millis now);

/// @brief Refuses a share of the calls to a service that refuses most calls.
[[nodiscard]] std::optional<Refusal> FilterThrottle(EntryFilterState& state,
                                                    EntryCall& call,
                                                    double random,
                                                    Millis now);

/// @return The filters in the order in which they are applied.
[[nodiscard]] const std::vector<EntryFilter>& EntryFilters();

/// @brief Applies every filter to a call until one refuses it.
/// @param randoms One number in [0, 1) for each filter.
/// @return The first refusal, or nothing.
[[nodiscard]] std::optional<Refusal> RunFilters(
    EntryFilterState& state,
    EntryCall& call,
    const std::vector<double>& randoms,
    Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ENTRY_FILTERS_H_
