#include "hemlockpoint/outcome/refusal.h"

#include <array>
#include <utility>

namespace hemlockpoint {

namespace {

struct ReasonRow {
  std::string_view m_code;
  unsigned m_status;
};

constexpr unsigned kBadRequest = 400;
constexpr unsigned kForbidden = 403;
constexpr unsigned kNotFound = 404;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kConflict = 409;
constexpr unsigned kContentTooLarge = 413;
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kClientClosed = 499;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

// Indexed by Reason.
constexpr std::array<ReasonRow, kReasonCount> kReasons = {{
    {"blocked", kForbidden},
    {"caller_cap", kTooManyRequests},
    {"retry_budget", kTooManyRequests},
    {"caller_retry_budget", kTooManyRequests},
    {"depth_limit", kTooManyRequests},
    {"malformed_request", kBadRequest},
    {"body_too_large", kContentTooLarge},
    {"unknown_service", kNotFound},
    {"no_target", kUnavailable},
    {"shed", kUnavailable},
    {"throttled", kUnavailable},
    {"queue_full", kUnavailable},
    {"deadline_unreachable", kUnavailable},
    {"deadline_passed", kGatewayTimeout},
    {"target_leaving", kUnavailable},
    {"node_leaving", kUnavailable},
    {"target_unreachable", kUnavailable},
    {"target_lost", kBadGateway},
    {"node_lost", kBadGateway},
    {"cancelled", kClientClosed},
    {"parent_ended", kConflict},
    {"quarantined", kUnprocessable},
    {"node_overloaded", kUnavailable},
    {"key_unavailable", kUnavailable},
    {"key_mismatch", kUnprocessable},
    {"key_result_lost", kConflict},
    {"policy_unknown", kUnavailable},
    {"no_route", kNotFound},
    {"target_refused", kUnavailable},
    {"answer_broken", kBadGateway},
    {"body_timeout", kRequestTimeout},
}};

}  // namespace

Refusal MakeRuleRefusal(Reason reason, RuleReference rule) {
  Refusal refusal;
  refusal.m_decider = Decider::kOperator;
  refusal.m_reason = reason;
  refusal.m_rule = std::move(rule);
  return refusal;
}

Refusal MakeSignalRefusal(Reason reason, Signal signal) {
  Refusal refusal;
  refusal.m_reason = reason;
  refusal.m_signal = std::move(signal);
  return refusal;
}

Refusal MakeUnknownOutcome(Reason reason, Signal signal) {
  Refusal refusal = MakeSignalRefusal(reason, std::move(signal));
  refusal.m_execution = Execution::kUnknown;
  return refusal;
}

std::string_view ToText(Execution execution) {
  return execution == Execution::kNotRun ? "not_run" : "unknown";
}

std::string_view ToText(Decider decider) {
  return decider == Decider::kOperator ? "operator" : "system";
}

std::string_view ToText(Reason reason) {
  return kReasons[static_cast<std::size_t>(reason)].m_code;
}

std::optional<Reason> ParseReason(std::string_view code) {
  for (std::size_t i = 0; i < kReasons.size(); ++i) {
    if (kReasons[i].m_code == code) {
      return static_cast<Reason>(i);
    }
  }
  return std::nullopt;
}

unsigned HttpStatusOf(const Refusal& refusal) {
  return kReasons[static_cast<std::size_t>(refusal.m_reason)].m_status;
}

bool IsWorthAnotherTarget(const Refusal& refusal) {
  if (refusal.m_execution != Execution::kNotRun) {
    return false;
  }
  switch (refusal.m_reason) {
    case Reason::kTargetLeaving:
    case Reason::kNodeLeaving:
    case Reason::kTargetUnreachable:
    case Reason::kNodeLost:
    case Reason::kQueueFull:
    case Reason::kDeadlineUnreachable:
    case Reason::kNodeOverloaded:
    case Reason::kNoTarget:
    case Reason::kTargetRefused:
      return true;
    default:
      return false;
  }
}

Millis JitteredRetryAfter(Millis base, double random) {
  return base + base * random;
}

}  // namespace hemlockpoint
