#ifndef HEMLOCKPOINT_OUTCOME_REFUSAL_H_
#define HEMLOCKPOINT_OUTCOME_REFUSAL_H_

#include <optional>
#include <string>
#include <string_view>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Whether a call that ended without a response from the target may have
/// run.
enum class Execution : unsigned char {
  /// The request did not run: it reached no target, or the target stated that
  /// it
  /// did not run it.
  kNotRun,
  /// A target may have run the request, completely or partly.
  kUnknown,
};

/// @brief Origin of the decision to refuse a call.
enum class Decider : unsigned char {
  /// A rule of the policy document, written by an operator.
  kOperator,
  /// The system itself, because of load or a failure.
  kSystem,
};

/// @brief Reason why a call was refused or ended without a response from the
/// target. Sent to callers as a code; see ToText().
enum class Reason : unsigned char {
  kBlocked,
  kCallerCap,
  kRetryBudget,
  kCallerRetryBudget,
  kDepthLimit,
  kMalformedRequest,
  kBodyTooLarge,
  kUnknownService,
  kNoTarget,
  kShed,
  kThrottled,
  kQueueFull,
  kDeadlineUnreachable,
  kDeadlinePassed,
  kTargetLeaving,
  kNodeLeaving,
  kTargetUnreachable,
  kTargetLost,
  kNodeLost,
  kCancelled,
  kParentEnded,
  kQuarantined,
  kNodeOverloaded,
  kKeyUnavailable,
  kKeyMismatch,
  kKeyResultLost,
  kPolicyUnknown,
  /// No route of the document matches the host and path.
  kNoRoute,
  /// The target stated that it did not run the call.
  kTargetRefused,
  /// The target's response was incomplete or malformed.
  kAnswerBroken,
  /// The caller had not sent the whole body by the deadline, or was silent for
  /// too long.
  kBodyTimeout,
};

inline constexpr std::size_t kReasonCount =
    static_cast<std::size_t>(Reason::kBodyTimeout) + 1;

/// @brief The policy rule that caused an operator's decision.
struct RuleReference {
  Revision m_revision;
  std::string m_section;
  std::string m_rule;
};

/// @brief The measurement that caused a decision of the system.
struct Signal {
  std::string m_name;
  double m_value = 0;
  /// Limit that the value was compared with; 0 if there is none.
  double m_bound = 0;
};

/// @brief Outcome of a call that ended without a response from the target.
struct Refusal {
  Execution m_execution = Execution::kNotRun;
  Decider m_decider = Decider::kSystem;
  Reason m_reason = Reason::kNodeOverloaded;
  /// Set if an operator's rule decided.
  RuleReference m_rule;
  /// Set if the system decided.
  Signal m_signal;
  /// Delay after which the caller may send the request again; 0 if not
  /// set.
  Millis m_retry_after;
  /// The node that decided.
  NodeId m_node;
};

/// @brief Builds a refusal decided by a policy rule.
[[nodiscard]] Refusal MakeRuleRefusal(Reason reason, RuleReference rule);

/// @brief Builds a refusal decided by the system from a measurement.
[[nodiscard]] Refusal MakeSignalRefusal(Reason reason, Signal signal);

/// @brief Builds the outcome of a call that a target may have run.
[[nodiscard]] Refusal MakeUnknownOutcome(Reason reason, Signal signal);

/// @return "not_run" or "unknown".
[[nodiscard]] std::string_view ToText(Execution execution);

/// @return "operator" or "system".
[[nodiscard]] std::string_view ToText(Decider decider);

/// @return The reason's code in snake case, such as "queue_full".
[[nodiscard]] std::string_view ToText(Reason reason);

/// @return The reason with this code, or nothing if the code is unknown.
[[nodiscard]] std::optional<Reason> ParseReason(std::string_view code);

/// @return The HTTP status for the refusal.
[[nodiscard]] unsigned HttpStatusOf(const Refusal& refusal);

/// @return Whether sending the same call to another target can succeed. False
/// for calls that a target may have run, and for decisions that every target
/// would make in the same way.
[[nodiscard]] bool IsWorthAnotherTarget(const Refusal& refusal);

/// @brief Adds random jitter to the delay after which a caller may send the
/// request again, so that refused callers do not return at the same time.
/// @param base Minimum delay.
/// @param random Uniform in [0, 1).
/// @return A delay in [base, 2 * base).
[[nodiscard]] Millis JitteredRetryAfter(Millis base, double random);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_OUTCOME_REFUSAL_H_
