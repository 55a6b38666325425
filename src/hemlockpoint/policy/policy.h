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

/// @brief Name of the section that every document has. It defines the priority
/// classes, the callers and the other sections.
inline constexpr const char* kPlatformSection = "platform";

/// @brief Maximum sizes of one section's text, and of all sections together.
inline constexpr std::size_t kMaxSectionBytes = std::size_t{64} * 1024;
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{256} * 1024;
inline constexpr std::size_t kMaxSections = 32;
inline constexpr std::size_t kMaxClasses = 8;

/// @brief Selects the calls to which a rule applies: the rule's work. Each part
/// must be equal to the call's part, or be a prefix of it followed by '*'. The
/// pattern "*" matches everything.
struct WorkPattern {
  std::string m_caller = "*";
  std::string m_service = "*";
  std::string m_method = "*";
  std::string m_path = "*";
};

/// @brief Identifies a rule: the section that defines it, and its name there.
struct RuleName {
  std::string m_section;
  std::string m_rule;
};

/// @brief Assigns work to a priority class.
struct ClassRule {
  RuleName m_name;
  WorkPattern m_work;
  /// Index into Policy::m_classes.
  std::size_t m_class = 0;
};

/// @brief Limits how often work is sent again: the retries along a chain of
/// calls, and the resends of failed requests by their callers.
struct RepetitionRule {
  RuleName m_name;
  WorkPattern m_work;
  /// Maximum number of retries for one root request, summed over all hops.
  std::uint64_t m_extra_attempts = 2;
  /// Maximum retries at each hop, as a share of its first attempts.
  double m_ratio_per_hop = 0.03;
  /// Maximum resends by a caller, as a share of its requests.
  double m_caller_ratio = 0.1;
};

/// @brief Marks work that must not be executed more than once.
struct NonIdempotentRule {
  RuleName m_name;
  WorkPattern m_work;
  /// Whether calls without an Idempotency-Key are refused.
  bool m_is_key_required = false;
};

/// @brief Marks work that takes much longer than other calls.
struct LongWorkRule {
  RuleName m_name;
  WorkPattern m_work;
};

/// @brief A rate limit set by an operator. Each entry node enforces it on its
/// own, without the others.
struct RateCapRule {
  RuleName m_name;
  WorkPattern m_work;
  double m_per_second_per_node = 0;
  /// Capacity of the token bucket, in calls.
  double m_burst = 0;
};

/// @brief Rejects all calls of some work, as set by an operator.
struct BlockRule {
  RuleName m_name;
  WorkPattern m_work;
};

/// @brief A service-level objective.
struct ObjectiveRule {
  RuleName m_name;
  WorkPattern m_work;
  /// Minimum share of good calls, in (0, 1).
  double m_good_share = 0.99;
  /// A call is good when its response arrives within this time.
  Millis m_latency{1000};
};

/// @brief A caller that is authenticated by a bearer token.
struct CallerEntry {
  CallerName m_name;
  /// SHA-256 of the token in lower-case hexadecimal.
  std::string m_token_sha256;
};

/// @brief States who may change a section, and which services its rules may
/// name.
struct SectionGrant {
  std::string m_owner;
  std::string m_token_sha256;
  std::vector<std::string> m_services;
};

/// @brief The rules of a policy document after validation. For each kind of
/// rule except caps and blocks, the platform's rules come last.
struct Policy {
  Revision m_revision;
  /// Class names by descending priority.
  std::vector<std::string> m_classes;
  std::size_t m_default_class = 0;
  /// Maximum number of hops of one root request.
  std::uint64_t m_max_depth = 16;
  /// Maximum share of a target's concurrency limit that long work may take.
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

/// @brief The text of one section as its owner wrote it.
struct PolicySection {
  /// Revision of the document in which the section was last changed.
  Revision m_revision;
  std::string m_text;
};

/// @brief A policy document: its sections by name.
struct PolicyDocument {
  Revision m_revision;
  std::map<std::string, PolicySection> m_sections;
};

/// @return The policy in force before the first document is accepted: one
/// class, no blocked work, the default repetition limits.
[[nodiscard]] Policy DefaultPolicy();

/// @brief Validates a document and compiles its rules.
/// @return The policy. It must not be used if findings were added.
[[nodiscard]] Policy CompilePolicy(const PolicyDocument& document,
                                   Findings& findings);

/// @brief Splits a TOML text, which has one top-level table per section, into
/// the texts of the sections. The rules are not validated.
/// @param source File name for the findings.
/// @return The document with revision 0.
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
