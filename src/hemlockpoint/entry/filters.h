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

/// @brief Tokens of one cap rule at one node.
struct CapBucket {
  double m_tokens = 0;
  Millis m_updated{-1e12};
};

/// @brief What a node decides the calls that enter at it by.
struct EntryFilterState {
  /// Shared with calls in progress, which end under the policy that they
  /// began under.
  std::shared_ptr<const Policy> m_policy;
  std::map<ServiceName, Balancer> m_services;
  std::map<ServiceName, ThrottleState> m_throttles;
  std::map<ServiceName, RetryTokenBucket> m_retry_buckets;
  ThresholdTable m_thresholds;
  ResendTable m_resends;
  QuarantineTable m_quarantine;
  /// By section and rule.
  std::map<std::pair<std::string, std::string>, CapBucket> m_caps;
  bool m_pass_through = false;
};

/// @brief One call on its way through an entry node.
struct EntryCall {
  std::shared_ptr<const Policy> m_policy;
  CallerRequest m_request;
  CallerName m_caller;
  CallVerdict m_verdict;
  RequestId m_root;
  KindName m_kind;
  std::size_t m_class = 0;
  std::uint64_t m_depth = 0;
  bool m_is_root = true;
  /// Content of the request, without the caller and its key.
  Fingerprint m_fingerprint;
  /// Content together with the caller and its key.
  Fingerprint m_resend_fingerprint;
  Millis m_arrived;
  Millis m_deadline;
  bool m_suspect = false;
};

/// @brief One decision about an entering call.
/// @param random Uniform in [0, 1).
/// @return Why the call is refused, or nothing to let it pass.
using EntryFilter = std::optional<Refusal> (*)(EntryFilterState& state,
                                               EntryCall& call,
                                               double random,
                                               Millis now);

/// @brief Refuses work that a block rule names.
[[nodiscard]] std::optional<Refusal> FilterBlocked(EntryFilterState& state,
                                                   EntryCall& call,
                                                   double random,
                                                   Millis now);

/// @brief Refuses calls below the deepest hop that the policy allows.
[[nodiscard]] std::optional<Refusal> FilterDepth(EntryFilterState& state,
                                                 EntryCall& call,
                                                 double random,
                                                 Millis now);

/// @brief Refuses keyless calls where a rule demands an Idempotency-Key.
[[nodiscard]] std::optional<Refusal> FilterMissingKey(EntryFilterState& state,
                                                      EntryCall& call,
                                                      double random,
                                                      Millis now);

/// @brief Refuses quarantined requests and marks suspect ones.
[[nodiscard]] std::optional<Refusal> FilterQuarantine(EntryFilterState& state,
                                                      EntryCall& call,
                                                      double random,
                                                      Millis now);

/// @return Whether an equal request can be taken for a resend of this one.
/// Equal requests of nameless callers without a key may come from anyone.
[[nodiscard]] bool IsAttributable(const EntryCall& call);

/// @brief Charges resends of failed root requests to their caller.
[[nodiscard]] std::optional<Refusal> FilterResend(EntryFilterState& state,
                                                  EntryCall& call,
                                                  double random,
                                                  Millis now);

/// @brief Refuses calls above the rates that cap rules set.
[[nodiscard]] std::optional<Refusal> FilterCap(EntryFilterState& state,
                                               EntryCall& call,
                                               double random,
                                               Millis now);

/// @brief Refuses what every target would refuse by its told threshold, but
/// for a few probes.
[[nodiscard]] std::optional<Refusal> FilterThreshold(EntryFilterState& state,
                                                     EntryCall& call,
                                                     double random,
                                                     Millis now);

/// @brief Refuses a share of the calls to a service that takes hardly any.
[[nodiscard]] std::optional<Refusal> FilterThrottle(EntryFilterState& state,
                                                    EntryCall& call,
                                                    double random,
                                                    Millis now);

/// @return The filters in the order in which a call passes them.
[[nodiscard]] const std::vector<EntryFilter>& EntryFilters();

/// @brief Passes a call through every filter.
/// @param randoms One number for each filter.
/// @return The first refusal, or nothing.
[[nodiscard]] std::optional<Refusal> RunFilters(
    EntryFilterState& state,
    EntryCall& call,
    const std::vector<double>& randoms,
    Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ENTRY_FILTERS_H_
