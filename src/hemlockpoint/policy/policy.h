#ifndef HEMLOCKPOINT_POLICY_POLICY_H_
#define HEMLOCKPOINT_POLICY_POLICY_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hemlockpoint/base/findings.h"
#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Name of the section that every document has: it defines the
/// classes, the callers and the other sections.
inline constexpr const char* kPlatformSection = "platform";

/// @brief Most bytes of a section's text, and of all sections together.
inline constexpr std::size_t kMaxSectionBytes = std::size_t{64} * 1024;
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{256} * 1024;
inline constexpr std::size_t kMaxSections = 32;
inline constexpr std::size_t kMaxClasses = 8;

/// @brief Which calls a rule is about. Each part is matched exactly, or as a
/// prefix when it ends in '*'; "*" matches everything.
struct WorkPattern {
  std::string m_caller = "*";
  std::string m_service = "*";
  std::string m_method = "*";
  std::string m_path = "*";
};

/// @brief Where a rule stands.
struct RuleName {
  std::string m_section;
  std::string m_rule;
};

/// @brief Puts work into a priority class.
struct ClassRule {
  RuleName m_name;
  WorkPattern m_work;
  std::size_t m_class = 0;
};

/// @brief How much repetition work may cause.
struct RepetitionRule {
  RuleName m_name;
  WorkPattern m_work;
  /// Attempts beyond the first for one root request, over the whole chain.
  std::uint64_t m_extra_attempts = 2;
  /// Repeats that each hop may add, as a share of first attempts.
  double m_ratio_per_hop = 0.03;
  /// A caller's resends of failed requests, as a share of its requests.
  double m_caller_ratio = 0.1;
};

/// @brief Marks work that must never run twice.
struct NonIdempotentRule {
  RuleName m_name;
  WorkPattern m_work;
  /// Whether calls without an Idempotency-Key are refused.
  bool m_is_key_required = false;
};

/// @brief Marks work that runs much longer than the rest.
struct LongWorkRule {
  RuleName m_name;
  WorkPattern m_work;
};

/// @brief A person's cap on a rate, enforced at each entry node on its own.
struct RateCapRule {
  RuleName m_name;
  WorkPattern m_work;
  double m_per_second_per_node = 0;
  double m_burst = 0;
};

/// @brief Work that a person has blocked.
struct BlockRule {
  RuleName m_name;
  WorkPattern m_work;
};

/// @brief A service-level objective.
struct ObjectiveRule {
  RuleName m_name;
  WorkPattern m_work;
  /// Share of calls that must be good, in (0, 1).
  double m_good_share = 0.99;
  /// A call is good when it is answered within this time.
  Millis m_latency{1000};
};

/// @brief A caller that proves its name with a bearer token.
struct CallerEntry {
  CallerName m_name;
  /// SHA-256 of the token in lower-case hexadecimal.
  std::string m_token_sha256;
};

/// @brief Who may change a section and which services its rules may name.
struct SectionGrant {
  std::string m_owner;
  std::string m_token_sha256;
  std::vector<std::string> m_services;
};

/// @brief The checked content of a policy document.
struct Policy {
  Revision m_revision;
  /// Class names, the most important first.
  std::vector<std::string> m_classes;
  std::size_t m_default_class = 0;
  /// Hops of one root request at most.
  std::uint64_t m_max_depth = 16;
  /// Share of a target's limit that long work may hold.
  double m_long_share = 0.3;
  std::map<std::string, SectionGrant> m_sections;
  std::vector<CallerEntry> m_callers;
  std::vector<ClassRule> m_class_rules;
  std::vector<RepetitionRule> m_repetition_rules;
  std::vector<NonIdempotentRule> m_non_idempotent_rules;
  std::vector<LongWorkRule> m_long_work_rules;
  std::vector<RateCapRule> m_cap_rules;
  std::vector<BlockRule> m_block_rules;
  std::vector<ObjectiveRule> m_objective_rules;
};

/// @brief One section's text as its owner wrote it.
struct PolicySection {
  /// Revision of the document that last changed the section.
  Revision m_revision;
  std::string m_text;
};

/// @brief The whole document: sections by name.
struct PolicyDocument {
  Revision m_revision;
  std::map<std::string, PolicySection> m_sections;
};

/// @brief The policy before any document was accepted: one class, nothing
/// blocked, default repetition.
[[nodiscard]] Policy DefaultPolicy();

/// @brief Checks a whole document.
/// @return The policy; unusable when findings were added.
[[nodiscard]] Policy CompilePolicy(const PolicyDocument& document,
                                   Findings& findings);

/// @brief Splits one TOML text with a top-level table per section.
/// @return The document with revision 0, without checking its rules.
[[nodiscard]] PolicyDocument SplitDocument(std::string_view text,
                                           const std::string& source,
                                           Findings& findings);

/// @return Whether a text matches one part of a WorkPattern.
[[nodiscard]] bool MatchesWildcard(std::string_view pattern,
                                   std::string_view text);

/// @return The SHA-256 of a token in lower-case hexadecimal.
[[nodiscard]] std::string TokenDigest(std::string_view token);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_POLICY_POLICY_H_
