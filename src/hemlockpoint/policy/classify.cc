#include "hemlockpoint/policy/classify.h"

#include <string>

namespace hemlockpoint {

namespace {

constexpr const char* kAnonymousCaller = "anonymous";
// Marks a caller name that is not authenticated, so that no rule that names a
// caller matches it.
constexpr const char* kUnverifiedPrefix = "unproved/";

template <typename Rule>
const Rule* FindFirstMatch(const std::vector<Rule>& rules,
                           const CallAttributes& call) {
  for (const Rule& rule : rules) {
    if (MatchesCall(rule.m_work, call)) {
      return &rule;
    }
  }
  return nullptr;
}

RuleReference MakeRuleReference(const Policy& policy, const RuleName& name) {
  return {policy.m_revision, name.m_section, name.m_rule};
}

// Where the policy has no rule, calls with the methods that HTTP defines as
// idempotent may be sent again.
bool IsIdempotentMethod(std::string_view method) {
  return method != "POST" && method != "PATCH";
}

}  // namespace

bool MatchesCall(const WorkPattern& pattern, const CallAttributes& call) {
  return MatchesWildcard(pattern.m_service, call.m_service) &&
         MatchesWildcard(pattern.m_method, call.m_method) &&
         MatchesWildcard(pattern.m_path, call.m_path) &&
         MatchesWildcard(pattern.m_caller, call.m_caller);
}

CallClassification ClassifyCall(const Policy& policy,
                                const CallAttributes& call) {
  CallClassification classification;
  classification.m_class = policy.m_default_class;
  classification.m_class_rule = {policy.m_revision, kPlatformSection,
                                 "default_class"};
  if (const auto* rule = FindFirstMatch(policy.m_class_rules, call)) {
    classification.m_class = rule->m_class;
    classification.m_class_rule = MakeRuleReference(policy, rule->m_name);
  }
  RepetitionRule repetition;
  repetition.m_name = {kPlatformSection, "default_repetition"};
  if (const auto* rule = FindFirstMatch(policy.m_repetition_rules, call)) {
    repetition = *rule;
  }
  classification.m_extra_attempts = repetition.m_extra_attempts;
  classification.m_ratio_per_hop = repetition.m_ratio_per_hop;
  classification.m_caller_ratio = repetition.m_caller_ratio;
  classification.m_repetition_rule =
      MakeRuleReference(policy, repetition.m_name);
  classification.m_idempotent = IsIdempotentMethod(call.m_method);
  if (const auto* rule = FindFirstMatch(policy.m_non_idempotent_rules, call)) {
    classification.m_idempotent = false;
    classification.m_is_key_required = rule->m_is_key_required;
    classification.m_key_rule = MakeRuleReference(policy, rule->m_name);
  }
  classification.m_long =
      FindFirstMatch(policy.m_long_work_rules, call) != nullptr;
  classification.m_block = FindFirstMatch(policy.m_block_rules, call);
  return classification;
}

CallerName IdentifyCaller(const Policy& policy,
                          std::string_view claimed_name,
                          std::string_view token) {
  if (claimed_name.empty()) {
    return CallerName(kAnonymousCaller);
  }
  for (const CallerEntry& entry : policy.m_callers) {
    if (entry.m_name.value() == claimed_name) {
      const bool is_authenticated =
          !token.empty() && TokenDigest(token) == entry.m_token_sha256;
      if (is_authenticated) {
        return entry.m_name;
      }
    }
  }
  return CallerName(kUnverifiedPrefix + std::string(claimed_name));
}

}  // namespace hemlockpoint
