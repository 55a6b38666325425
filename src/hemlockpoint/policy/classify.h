#ifndef HEMLOCKPOINT_POLICY_CLASSIFY_H_
#define HEMLOCKPOINT_POLICY_CLASSIFY_H_

#include <optional>
#include <string_view>

#include "hemlockpoint/outcome/refusal.h"
#include "hemlockpoint/policy/policy.h"

namespace hemlockpoint {

/// @brief The parts of a request that policy rules look at.
struct CallAttributes {
  std::string_view m_caller;
  std::string_view m_service;
  std::string_view m_method;
  /// Path without its query.
  std::string_view m_path;
};

/// @brief What the policy says about one call.
struct CallClassification {
  std::size_t m_class = 0;
  RuleReference m_class_rule;
  std::uint64_t m_extra_attempts = 0;
  double m_ratio_per_hop = 0;
  double m_caller_ratio = 0;
  RuleReference m_repetition_rule;
  bool m_idempotent = true;
  bool m_is_key_required = false;
  RuleReference m_key_rule;
  bool m_long = false;
  const BlockRule* m_block = nullptr;
};

/// @return Whether the rule's pattern covers the work.
[[nodiscard]] bool MatchesCall(const WorkPattern& pattern,
                               const CallAttributes& work);

/// @brief Looks up every rule about a call. A team's section goes before the
/// platform's; within a section the first rule that covers the call counts.
[[nodiscard]] CallClassification ClassifyCall(const Policy& policy,
                                              const CallAttributes& work);

/// @brief Decides who a caller is. Only a name that the policy lists, together
/// with its token, is the caller's own; rules never match any other.
/// @param claimed The name that the caller states.
/// @param token The bearer token that it sent; empty when none.
/// @return The proved name, "unproved/" and the claimed one, or "anonymous".
[[nodiscard]] CallerName IdentifyCaller(const Policy& policy,
                                        std::string_view claimed,
                                        std::string_view token);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_POLICY_CLASSIFY_H_
