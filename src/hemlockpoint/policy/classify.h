#ifndef HEMLOCKPOINT_POLICY_CLASSIFY_H_
#define HEMLOCKPOINT_POLICY_CLASSIFY_H_

#include <optional>
#include <string_view>

#include "hemlockpoint/outcome/refusal.h"
#include "hemlockpoint/policy/policy.h"

namespace hemlockpoint {

/// @brief The parts of a call that policy rules match.
struct CallAttributes {
  std::string_view m_caller;
  std::string_view m_service;
  std::string_view m_method;
  /// Path without its query.
  std::string_view m_path;
};

/// @brief The effect of the policy on one call, with the rules that decided it.
struct CallClassification {
  /// Index into Policy::m_classes.
  std::size_t m_class = 0;
  RuleReference m_class_rule;
  /// The values of RepetitionRule.
  std::uint64_t m_extra_attempts = 0;
  double m_ratio_per_hop = 0;
  double m_caller_ratio = 0;
  RuleReference m_repetition_rule;
  bool m_idempotent = true;
  bool m_is_key_required = false;
  RuleReference m_key_rule;
  bool m_long = false;
  /// The rule that blocks the call, or null.
  const BlockRule* m_block = nullptr;
};

/// @return Whether the call matches every part of the pattern.
[[nodiscard]] bool MatchesCall(const WorkPattern& pattern,
                               const CallAttributes& call);

/// @brief Finds the rules of each kind that apply to a call. Rules of teams'
/// sections take precedence over the platform's; within a section the first
/// rule that matches the call applies.
[[nodiscard]] CallClassification ClassifyCall(const Policy& policy,
                                              const CallAttributes& call);

/// @brief Authenticates a caller. A name counts only if the policy lists it and
/// the caller sent its token. Rules that name a caller match no other callers.
/// @param claimed_name The name that the caller sent; empty when none.
/// @param token The bearer token that the caller sent; empty when none.
/// @return The name if it is authenticated, "unproved/" followed by the claimed
/// name if it is not, or "anonymous" if there is none.
[[nodiscard]] CallerName IdentifyCaller(const Policy& policy,
                                        std::string_view claimed_name,
                                        std::string_view token);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_POLICY_CLASSIFY_H_
