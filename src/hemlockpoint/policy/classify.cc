#include "hemlockpoint/policy/classify.h"

#include <string>

namespace hemlockpoint {

namespace {

constexpr const char* kAnonymousCaller = "anonymous";
// Keeps a name that nobody proved apart from every name in a rule.
constexpr const char* kUnverifiedPrefix = "unproved/";

template <typename Rule>
const Rule* FindFirstMatch(const std::vector<Rule>& rules,
                           const CallAttributes& work) {
  for (const Rule& rule : rules) {
    if (MatchesCall(rule.m_work, work)) {
      return &rule;
    }
  }
  return nullptr;
}

RuleReference MakeRuleReference(const Policy& policy, const RuleName& name) {
  return {policy.m_revision, name.m_section, name.m_rule};
}

// HTTP's own word on repetition counts where the policy says nothing.
bool IsIdempotentMethod(std::string_view method) {
  return method != "POST" && method != "PATCH";
}

}  // namespace

bool MatchesCall(const WorkPattern& pattern, const CallAttributes& work) {
  return MatchesWildcard(pattern.m_service, work.m_service) &&
         MatchesWildcard(pattern.m_method, work.m_method) &&
         MatchesWildcard(pattern.m_path, work.m_path) &&
         MatchesWildcard(pattern.m_caller, work.m_caller);
}

CallClassification ClassifyCall(const Policy& policy,
                                const CallAttributes& work) {
  CallClassification verdict;
  verdict.m_class = policy.m_default_class;
  verdict.m_class_rule = {policy.m_revision, kPlatformSection, "default_class"};
  if (const auto* rule = FindFirstMatch(policy.m_class_rules, work)) {
    verdict.m_class = rule->m_class;
    verdict.m_class_rule = MakeRuleReference(policy, rule->m_name);
  }
  RepetitionRule repetition;
  repetition.m_name = {kPlatformSection, "default_repetition"};
  if (const auto* rule = FindFirstMatch(policy.m_repetition_rules, work)) {
    repetition = *rule;
  }
  verdict.m_extra_attempts = repetition.m_extra_attempts;
  verdict.m_ratio_per_hop = repetition.m_ratio_per_hop;
  verdict.m_caller_ratio = repetition.m_caller_ratio;
  verdict.m_repetition_rule = MakeRuleReference(policy, repetition.m_name);
  verdict.m_idempotent = IsIdempotentMethod(work.m_method);
  if (const auto* rule = FindFirstMatch(policy.m_non_idempotent_rules, work)) {
    verdict.m_idempotent = false;
    verdict.m_is_key_required = rule->m_is_key_required;
    verdict.m_key_rule = MakeRuleReference(policy, rule->m_name);
  }
  verdict.m_long = FindFirstMatch(policy.m_long_work_rules, work) != nullptr;
  verdict.m_block = FindFirstMatch(policy.m_block_rules, work);
  return verdict;
}

CallerName IdentifyCaller(const Policy& policy,
                          std::string_view claimed,
                          std::string_view token) {
  if (claimed.empty()) {
    return CallerName(kAnonymousCaller);
  }
  for (const CallerEntry& entry : policy.m_callers) {
    if (entry.m_name.value() == claimed) {
      const bool proved =
          !token.empty() && TokenDigest(token) == entry.m_token_sha256;
      if (proved) {
        return entry.m_name;
      }
    }
  }
  return CallerName(kUnverifiedPrefix + std::string(claimed));
}

}  // namespace hemlockpoint
