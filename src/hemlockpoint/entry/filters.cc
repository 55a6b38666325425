#include "hemlockpoint/entry/filters.h"

#include <algorithm>

#include "hemlockpoint/admission/shed.h"

namespace hemlockpoint {

namespace {

// Share of calls that pass the threshold filter regardless of their rank, so
// that the node learns of changed thresholds.
constexpr double kProbeShare = 0.02;
constexpr Millis kThresholdRetryAfter(500);
constexpr Millis kThrottleRetryAfter(1000);
constexpr Millis kResendRetryAfter(1000);
constexpr double kMillisPerSecond = 1000;

CallAttributes WorkOf(const EntryCall& call) {
  return {call.m_caller.value(), call.m_request.m_service.value(),
          call.m_request.m_method, PathOnly(call.m_request.m_path)};
}

RuleReference RuleOf(const EntryCall& call, const RuleName& name) {
  return {call.m_policy->m_revision, name.m_section, name.m_rule};
}

// Refills the bucket for the time since its last update, then takes one token
// if there is one. Returns whether it did.
bool TakeToken(CapBucket& bucket, const RateCapRule& rule, Millis now) {
  const double seconds =
      std::max(0.0, (now - bucket.m_updated).value()) / kMillisPerSecond;
  bucket.m_tokens = std::min(
      rule.m_burst, bucket.m_tokens + seconds * rule.m_per_second_per_node);
  bucket.m_updated = now;
  if (bucket.m_tokens < 1) {
    return false;
  }
  bucket.m_tokens -= 1;
  return true;
}

}  // namespace

bool IsAttributable(const EntryCall& call) {
  const bool is_named = !call.m_request.m_caller.empty();
  return call.m_is_root && (is_named || !call.m_request.m_key.empty());
}

std::optional<Refusal> FilterBlocked(EntryFilterState&,
                                     EntryCall& call,
                                     double,
                                     Millis) {
  const BlockRule* block = call.m_verdict.m_block;
  if (block == nullptr) {
    return std::nullopt;
  }
  return MakeRuleRefusal(Reason::kBlocked, RuleOf(call, block->m_name));
}

std::optional<Refusal> FilterDepth(EntryFilterState&,
                                   EntryCall& call,
                                   double,
                                   Millis) {
  if (call.m_depth < call.m_policy->m_max_depth) {
    return std::nullopt;
  }
  // A setting, reported like a rule of the platform section.
  return MakeRuleRefusal(Reason::kDepthLimit,
                         RuleOf(call, {kPlatformSection, "max_depth"}));
}

std::optional<Refusal> FilterMissingKey(EntryFilterState&,
                                        EntryCall& call,
                                        double,
                                        Millis) {
  if (!call.m_verdict.m_is_key_required || !call.m_request.m_key.empty()) {
    return std::nullopt;
  }
  return MakeRuleRefusal(Reason::kMalformedRequest, call.m_verdict.m_key_rule);
}

std::optional<Refusal> FilterQuarantine(EntryFilterState& state,
                                        EntryCall& call,
                                        double,
                                        Millis now) {
  const auto suspicion =
      SuspectStateOf(state.m_quarantine, call.m_fingerprint, now);
  call.m_suspect = suspicion.has_value();
  if (suspicion != SuspectState::kQuarantined) {
    return std::nullopt;
  }
  // Value and limit are constant: a request is quarantined by two crashes.
  return MakeSignalRefusal(Reason::kQuarantined, {"target_crashes", 2, 2});
}

std::optional<Refusal> FilterResend(EntryFilterState& state,
                                    EntryCall& call,
                                    double,
                                    Millis now) {
  if (!IsAttributable(call)) {
    return std::nullopt;
  }
  const ResendDecision decision =
      EvaluateResend(state.m_resends, call.m_caller, call.m_resend_fingerprint,
                     call.m_verdict.m_caller_ratio, now);
  if (decision.m_root) {
    call.m_root = *decision.m_root;
  }
  if (decision.m_allowed) {
    return std::nullopt;
  }
  // The repetition rule limits both retries and the resends of callers.
  Refusal refusal = MakeRuleRefusal(Reason::kCallerRetryBudget,
                                    call.m_verdict.m_repetition_rule);
  refusal.m_retry_after = kResendRetryAfter;
  return refusal;
}

std::optional<Refusal> FilterCap(EntryFilterState& state,
                                 EntryCall& call,
                                 double,
                                 Millis now) {
  const CallAttributes work = WorkOf(call);
  for (const RateCapRule& rule : call.m_policy->m_cap_rules) {
    if (!MatchesCall(rule.m_work, work)) {
      continue;
    }
    CapBucket& bucket =
        state.m_caps[{rule.m_name.m_section, rule.m_name.m_rule}];
    if (!TakeToken(bucket, rule, now)) {
      Refusal refusal =
          MakeRuleRefusal(Reason::kCallerCap, RuleOf(call, rule.m_name));
      // The time per token, but at most 1 s, also for rates below one per
      // second.
      refusal.m_retry_after =
          Millis(kMillisPerSecond / std::max(1.0, rule.m_per_second_per_node));
      return refusal;
    }
  }
  return std::nullopt;
}

std::optional<Refusal> FilterThreshold(EntryFilterState& state,
                                       EntryCall& call,
                                       double random,
                                       Millis now) {
  const auto balancer = state.m_services.find(call.m_request.m_service);
  if (balancer == state.m_services.end() || random < kProbeShare) {
    return std::nullopt;
  }
  const std::size_t target_count = CountUsableTargets(balancer->second, now);
  const double threshold =
      EntryThreshold(state.m_thresholds, call.m_kind, target_count, now);
  const double rank = RankOf(call.m_class, call.m_root);
  if (rank <= threshold) {
    return std::nullopt;
  }
  Refusal refusal =
      MakeSignalRefusal(Reason::kShed, {"told_threshold", rank, threshold});
  refusal.m_retry_after = kThresholdRetryAfter;
  return refusal;
}

std::optional<Refusal> FilterThrottle(EntryFilterState& state,
                                      EntryCall& call,
                                      double random,
                                      Millis now) {
  ThrottleState& throttle = state.m_throttles[call.m_request.m_service];
  const double share = ThrottledShare(throttle, now);
  if (random >= share) {
    // A passed call is counted when it ends, together with its acceptance. If
    // it were counted here, calls in flight would lower the acceptance rate.
    return std::nullopt;
  }
  RecordThrottleRequest(throttle, now);
  Refusal refusal =
      MakeSignalRefusal(Reason::kThrottled, {"throttled_share", share, 0});
  refusal.m_retry_after = kThrottleRetryAfter;
  return refusal;
}

const std::vector<EntryFilter>& EntryFilters() {
  // The first filter that refuses a call states the reason. The filters for
  // load (threshold and throttle) come last, so that a call that an operator's
  // rule blocks is not refused because of load.
  static const std::vector<EntryFilter> filters = {
      FilterBlocked, FilterDepth,  FilterMissingKey, FilterQuarantine,
      FilterCap,     FilterResend, FilterThreshold,  FilterThrottle};
  return filters;
}

std::optional<Refusal> RunFilters(EntryFilterState& state,
                                  EntryCall& call,
                                  const std::vector<double>& randoms,
                                  Millis now) {
  if (state.m_pass_through) {
    return std::nullopt;
  }
  const std::vector<EntryFilter>& filters = EntryFilters();
  for (std::size_t i = 0; i < filters.size(); ++i) {
    const auto refusal = filters[i](state, call, randoms[i], now);
    if (refusal) {
      return refusal;
    }
  }
  return std::nullopt;
}

}  // namespace hemlockpoint
