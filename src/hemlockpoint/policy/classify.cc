#include "hemlockpoint/policy/classify.h"

#include <string>

namespace hemlockpoint {

namespace {

constexpr const char* kAnonymous = "anonymous";
// Keeps a name that nobody proved apart from every name in a rule.
constexpr const char* kUnprovedPrefix = "unproved/";

template <typename Rule>
const Rule* FirstCovering(const std::vector<Rule>& rules, const WorkRef& work) {
  for (const Rule& rule : rules) {
    if (Covers(rule.m_work, work)) {
      return &rule;
    }
  }
  return nullptr;
}

RuleReference ReferenceTo(const Policy& policy, const RuleName& name) {
  return {policy.m_revision, name.m_section, name.m_rule};
}

// HTTP's own word on repetition counts where the policy says nothing.
bool IsIdempotentMethod(std::string_view method) {
  return method != "POST" && method != "PATCH";
}

}  // namespace

bool Covers(const WorkPattern& pattern, const WorkRef& work) {
  return MatchesPart(pattern.m_service, work.m_service) &&
         MatchesPart(pattern.m_method, work.m_method) &&
         MatchesPart(pattern.m_path, work.m_path) &&
         MatchesPart(pattern.m_caller, work.m_caller);
}

CallVerdict Classify(const Policy& policy, const WorkRef& work) {
  CallVerdict verdict;
  verdict.m_class = policy.m_default_class;
  verdict.m_class_rule = {policy.m_revision, kPlatformSection, "default_class"};
  if (const auto* rule = FirstCovering(policy.m_class_rules, work)) {
    verdict.m_class = rule->m_class;
    verdict.m_class_rule = ReferenceTo(policy, rule->m_name);
  }
  RepetitionRule repetition;
  repetition.m_name = {kPlatformSection, "default_repetition"};
  if (const auto* rule = FirstCovering(policy.m_repetition_rules, work)) {
    repetition = *rule;
  }
  verdict.m_extra_attempts = repetition.m_extra_attempts;
  verdict.m_ratio_per_hop = repetition.m_ratio_per_hop;
  verdict.m_caller_ratio = repetition.m_caller_ratio;
  verdict.m_repetition_rule = ReferenceTo(policy, repetition.m_name);
  verdict.m_idempotent = IsIdempotentMethod(work.m_method);
  if (const auto* rule = FirstCovering(policy.m_non_idempotent_rules, work)) {
    verdict.m_idempotent = false;
    verdict.m_key_required = rule->m_key_required;
    verdict.m_key_rule = ReferenceTo(policy, rule->m_name);
  }
  verdict.m_long = FirstCovering(policy.m_long_work_rules, work) != nullptr;
  verdict.m_block = FirstCovering(policy.m_block_rules, work);
  return verdict;
}

CallerName IdentifyCaller(const Policy& policy,
                          std::string_view claimed,
                          std::string_view token) {
  if (claimed.empty()) {
    return CallerName(kAnonymous);
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
  return CallerName(kUnprovedPrefix + std::string(claimed));
}

}  // namespace hemlockpoint
