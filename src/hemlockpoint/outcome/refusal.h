#ifndef HEMLOCKPOINT_OUTCOME_REFUSAL_H_
#define HEMLOCKPOINT_OUTCOME_REFUSAL_H_

#include <optional>
#include <string>
#include <string_view>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Whether a call without the target's own answer may have run.
enum class Execution : unsigned char {
  /// No byte of the request was handed to any target.
  kNotRun,
  /// A target may have run the request, wholly or in part.
  kUnknown,
};

/// @brief Who decided that a call was refused.
enum class Decider : unsigned char {
  /// A rule of the policy document that a person wrote.
  kOperator,
  /// The system, because of load or of a failure.
  kSystem,
};

/// @brief Why a call was refused or ended without the target's answer.
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
  /// No route of the document leads anywhere for this host and path.
  kNoRoute,
  /// The target said that it has not run the call.
  kTargetRefused,
  /// The target's answer broke off or was not one.
  kAnswerBroken,
};

inline constexpr std::size_t kReasonCount =
    static_cast<std::size_t>(Reason::kAnswerBroken) + 1;

/// @brief The rule of the policy document behind an operator's decision.
struct RuleReference {
  Revision m_revision;
  std::string m_section;
  std::string m_rule;
};

/// @brief The measurement behind a decision of the system.
struct Signal {
  std::string m_name;
  double m_value = 0;
  double m_bound = 0;
};

/// @brief Everything a caller is told about a call that has no answer of the
/// target's own.
struct Refusal {
  Execution m_execution = Execution::kNotRun;
  Decider m_decider = Decider::kSystem;
  Reason m_reason = Reason::kNodeOverloaded;
  RuleReference m_rule;
  Signal m_signal;
  Millis m_retry_after;
  /// The node that decided.
  NodeId m_node;
};

/// @brief Builds a refusal that a policy rule demands.
[[nodiscard]] Refusal MakeRuleRefusal(Reason reason, RuleReference rule);

/// @brief Builds a refusal that the system decided on a measurement.
[[nodiscard]] Refusal MakeSignalRefusal(Reason reason, Signal signal);

/// @brief Builds the end of a call that a target may have run.
[[nodiscard]] Refusal MakeUnknownOutcome(Reason reason, Signal signal);

/// @return "not_run" or "unknown".
[[nodiscard]] std::string_view ToText(Execution execution);

/// @return "operator" or "system".
[[nodiscard]] std::string_view ToText(Decider decider);

/// @return The reason's code in snake case, such as "queue_full".
[[nodiscard]] std::string_view ToText(Reason reason);

/// @return The reason that a code names.
[[nodiscard]] std::optional<Reason> ParseReason(std::string_view code);

/// @return The HTTP status that carries the refusal.
[[nodiscard]] unsigned HttpStatusOf(const Refusal& refusal);

/// @brief Whether sending the same call to another target can help. Calls
/// that a target may have run, and decisions that every target would repeat,
/// are not worth it.
[[nodiscard]] bool IsWorthAnotherTarget(const Refusal& refusal);

/// @brief Draws the delay after which a caller may send the call again.
/// @param base Shortest useful delay.
/// @param random Uniform in [0, 1).
/// @return A delay in [base, 2 base), so that callers do not return together.
[[nodiscard]] Millis JitteredRetryAfter(Millis base, double random);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_OUTCOME_REFUSAL_H_
