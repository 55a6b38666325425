#include "hemlockpoint/policy/policy.h"

#include <openssl/evp.h>
#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include "hemlockpoint/config/toml_reader.h"

namespace hemlockpoint {

namespace {

constexpr std::size_t kMaxRulesPerKind = 512;
constexpr std::size_t kMaxCallers = 1024;
constexpr std::size_t kSha256HexDigits = 64;

bool IsSha256Hex(const std::string& text) {
  return text.size() == kSha256HexDigits &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

// Validates one section and adds its rules to the policy.
class SectionCompiler {
 public:
  SectionCompiler(Policy& policy,
                  std::string section,
                  TomlReader& reader,
                  Findings& findings)
      : m_policy(policy),
        m_section(std::move(section)),
        m_section_reader(reader),
        m_findings(findings) {}

  void CompileRules() {
    ReadRules("class", m_policy.m_class_rules,
              [this](TomlReader& rule, ClassRule& out) {
                out.m_class = ReadClass(rule, "class");
              });
    ReadRules("repetition", m_policy.m_repetition_rules, ReadRepetition);
    ReadRules("non_idempotent", m_policy.m_non_idempotent_rules,
              [](TomlReader& rule, NonIdempotentRule& out) {
                out.m_is_key_required = rule.Bool("key_required", false);
              });
    ReadRules("long_work", m_policy.m_long_work_rules,
              [](TomlReader&, LongWorkRule&) {});
    ReadRules("cap", m_policy.m_cap_rules, ReadCap);
    ReadRules("block", m_policy.m_block_rules, [](TomlReader&, BlockRule&) {});
    ReadRules("objective", m_policy.m_objective_rules, ReadObjective);
  }

  void CompilePlatformSettings() {
    m_policy.m_classes = m_section_reader.Strings("classes");
    const std::set<std::string> distinct(m_policy.m_classes.begin(),
                                         m_policy.m_classes.end());
    if (m_policy.m_classes.empty() || m_policy.m_classes.size() > kMaxClasses ||
        distinct.size() != m_policy.m_classes.size()) {
      m_section_reader.AddFinding("classes", "expected 1 to 8 different names");
    }
    m_policy.m_default_class = ReadClass(m_section_reader, "default_class");
    m_policy.m_max_depth = m_section_reader.Integer("max_depth", {1, 64}, 16);
    m_policy.m_long_share =
        m_section_reader.Number("long_share", {0.01, 1}, 0.3);
    CompileCallers();
    CompileSectionGrants();
  }

 private:
  std::size_t ReadClass(TomlReader& reader, std::string_view key) {
    const std::string name = reader.String(key);
    const auto& classes = m_policy.m_classes;
    const auto found = std::find(classes.begin(), classes.end(), name);
    if (found == classes.end()) {
      reader.AddFinding(key, "no such class: \"" + name + "\"");
      return 0;
    }
    return static_cast<std::size_t>(found - classes.begin());
  }

  static void ReadRepetition(TomlReader& rule, RepetitionRule& out) {
    out.m_extra_attempts = rule.Integer("extra_attempts", {0, 16}, 2);
    out.m_ratio_per_hop = rule.Number("ratio_per_hop", {0, 1}, 0.03);
    out.m_caller_ratio = rule.Number("caller_ratio", {0, 1}, 0.1);
  }

  static void ReadCap(TomlReader& rule, RateCapRule& out) {
    constexpr double kMaxRate = 1e6;
    out.m_per_second_per_node =
        rule.Number("per_second_per_node", {0, kMaxRate});
    const double burst = std::max(1.0, out.m_per_second_per_node);
    out.m_burst = rule.Number("burst", {1, kMaxRate}, burst);
  }

  static void ReadObjective(TomlReader& rule, ObjectiveRule& out) {
    out.m_good_share = rule.Number("good_share", {0.5, 0.99999});
    out.m_latency = Millis(rule.Number("latency_ms", {1, 3.6e6}));
  }

  template <typename Rule, typename RuleFieldReader>
  void ReadRules(std::string_view kind,
                 std::vector<Rule>& rules,
                 RuleFieldReader read_fields) {
    for (TomlReader& reader : m_section_reader.Tables(kind)) {
      Rule rule;
      rule.m_name = {m_section, reader.String("rule")};
      rule.m_work = ReadWorkPattern(reader);
      read_fields(reader, rule);
      reader.ReportUnknownKeys();
      if (!m_rule_names.insert(rule.m_name.m_rule).second) {
        reader.AddFinding("rule", "name used twice in the section: \"" +
                                      rule.m_name.m_rule + "\"");
      }
      rules.push_back(std::move(rule));
    }
    if (rules.size() > kMaxRulesPerKind) {
      m_section_reader.AddFinding(kind, "more than 512 rules of one kind");
    }
  }

  WorkPattern ReadWorkPattern(TomlReader& reader) {
    WorkPattern work;
    work.m_caller = ReadWorkPatternPart(reader, "caller");
    work.m_service = ReadWorkPatternPart(reader, "service");
    work.m_method = ReadWorkPatternPart(reader, "method");
    work.m_path = ReadWorkPatternPart(reader, "path");
    CheckServiceScope(reader, work.m_service);
    return work;
  }

  static std::string ReadWorkPatternPart(TomlReader& reader,
                                         std::string_view key) {
    const std::string part = reader.String(key, "*");
    const std::size_t star_position = part.find('*');
    if (part.empty() || (star_position != std::string::npos &&
                         star_position + 1 != part.size())) {
      reader.AddFinding(key, "expected a text with '*' at most at its end");
    }
    return part;
  }

  // Rules of a team's section may name only the services of that section.
  void CheckServiceScope(TomlReader& reader, const std::string& service) {
    if (m_section == kPlatformSection) {
      return;
    }
    const auto grant = m_policy.m_sections.find(m_section);
    if (grant == m_policy.m_sections.end()) {
      return;
    }
    const auto& services = grant->second.m_services;
    if (std::find(services.begin(), services.end(), service) ==
        services.end()) {
      reader.AddFinding("service", "section " + m_section +
                                       " may not set rules for service \"" +
                                       service + "\"");
    }
  }

  void CompileCallers() {
    for (TomlReader& caller : m_section_reader.Tables("callers")) {
      CallerEntry entry;
      entry.m_name = CallerName(caller.String("name"));
      entry.m_token_sha256 = caller.String("token_sha256");
      if (!IsSha256Hex(entry.m_token_sha256)) {
        caller.AddFinding("token_sha256", "expected 64 hexadecimal digits");
      }
      caller.ReportUnknownKeys();
      m_policy.m_callers.push_back(std::move(entry));
    }
    if (m_policy.m_callers.size() > kMaxCallers) {
      m_section_reader.AddFinding("callers", "more than 1024 callers");
    }
  }

  void CompileSectionGrants() {
    std::map<std::string, std::string> section_by_service;
    std::optional<TomlReader> sections = m_section_reader.Table("sections");
    if (!sections) {
      return;
    }
    for (const std::string& name : sections->Keys()) {
      std::optional<TomlReader> reader = sections->Table(name);
      if (!reader) {
        continue;
      }
      SectionGrant grant;
      grant.m_owner = reader->String("owner");
      grant.m_token_sha256 = reader->String("token_sha256");
      grant.m_services =
          reader->Strings("services", std::vector<std::string>());
      if (!IsSha256Hex(grant.m_token_sha256)) {
        reader->AddFinding("token_sha256", "expected 64 hexadecimal digits");
      }
      for (const std::string& service : grant.m_services) {
        const auto [entry, is_new] = section_by_service.emplace(service, name);
        if (!is_new) {
          reader->AddFinding("services", "service \"" + service +
                                             "\" belongs to section " +
                                             entry->second + " already");
        }
      }
      reader->ReportUnknownKeys();
      m_policy.m_sections[name] = std::move(grant);
    }
  }

  Policy& m_policy;
  std::string m_section;
  TomlReader& m_section_reader;
  Findings& m_findings;
  std::set<std::string> m_rule_names;
};

void CompileSection(const std::string& name,
                    const std::string& text,
                    Policy& policy,
                    Findings& findings) {
  if (text.size() > kMaxSectionBytes) {
    findings.Add({name, 0, 0}, "section is longer than 64 KiB");
    return;
  }
  const std::optional<toml::table> table = ParseToml(text, name, findings);
  if (!table) {
    return;
  }
  TomlReader document(*table, "", name, findings);
  std::optional<TomlReader> section = document.Table(name);
  document.ReportUnknownKeys();
  if (!section) {
    document.AddFinding(name, "the section's table is missing");
    return;
  }
  SectionCompiler compiler(policy, name, *section, findings);
  if (name == kPlatformSection) {
    compiler.CompilePlatformSettings();
  } else if (policy.m_sections.count(name) == 0) {
    findings.Add({name, 1, 1}, "section is not listed in platform.sections");
  }
  compiler.CompileRules();
  section->ReportUnknownKeys();
}

// Moves the platform's rules behind those of the teams' sections, so that these
// take precedence.
template <typename Rule>
void MovePlatformRulesLast(std::vector<Rule>& rules) {
  std::stable_partition(rules.begin(), rules.end(), [](const Rule& rule) {
    return rule.m_name.m_section != kPlatformSection;
  });
}

}  // namespace

Policy DefaultPolicy() {
  Policy policy;
  policy.m_classes = {"default"};
  return policy;
}

Policy CompilePolicy(const PolicyDocument& document, Findings& findings) {
  Policy policy;
  policy.m_revision = document.m_revision;
  const auto platform = document.m_sections.find(kPlatformSection);
  if (platform == document.m_sections.end()) {
    findings.Add({kPlatformSection, 0, 0}, "the platform section is missing");
    return policy;
  }
  if (document.m_sections.size() > kMaxSections) {
    findings.Add({kPlatformSection, 0, 0}, "more than 32 sections");
  }
  std::size_t total_bytes = 0;
  for (const auto& [name, section] : document.m_sections) {
    total_bytes += section.m_text.size();
  }
  if (total_bytes > kMaxDocumentBytes) {
    findings.Add({kPlatformSection, 0, 0}, "document is longer than 256 KiB");
    return policy;
  }
  // The platform section is compiled first, since it defines the classes, and
  // the services of the other sections.
  CompileSection(kPlatformSection, platform->second.m_text, policy, findings);
  for (const auto& [name, section] : document.m_sections) {
    if (name != kPlatformSection) {
      CompileSection(name, section.m_text, policy, findings);
    }
  }
  MovePlatformRulesLast(policy.m_class_rules);
  MovePlatformRulesLast(policy.m_repetition_rules);
  MovePlatformRulesLast(policy.m_non_idempotent_rules);
  MovePlatformRulesLast(policy.m_long_work_rules);
  MovePlatformRulesLast(policy.m_objective_rules);
  return policy;
}

PolicyDocument SplitDocument(std::string_view text,
                             const std::string& source,
                             Findings& findings) {
  PolicyDocument document;
  const std::optional<toml::table> table = ParseToml(text, source, findings);
  if (!table) {
    return document;
  }
  // Text before a section's first table header belongs to the previous section;
  // text before the first header belongs to the first section.
  std::vector<std::pair<std::size_t, std::string>> starts;
  std::size_t line_start = 0;
  while (line_start < text.size()) {
    const std::size_t line_end =
        std::min(text.find('\n', line_start), text.size());
    const std::string_view line =
        text.substr(line_start, line_end - line_start);
    const std::size_t open = line.find_first_not_of("[ \t");
    if (!line.empty() && line.front() == '[' &&
        open != std::string_view::npos) {
      const std::size_t close = line.find_first_of(".] \t", open);
      const std::string name(line.substr(open, close - open));
      if (table->contains(name) &&
          (starts.empty() || starts.back().second != name)) {
        starts.emplace_back(line_start, name);
      }
    }
    line_start = line_end + 1;
  }
  for (std::size_t i = 0; i < starts.size(); ++i) {
    const std::size_t end =
        i + 1 < starts.size() ? starts[i + 1].first : text.size();
    const std::size_t begin = i == 0 ? 0 : starts[i].first;
    document.m_sections[starts[i].second].m_text +=
        std::string(text.substr(begin, end - begin));
  }
  for (const auto& [key, value] : *table) {
    const std::string name(key.str());
    if (document.m_sections.count(name) == 0) {
      const toml::source_region& region = value.source();
      findings.Add({source, region.begin.line, region.begin.column},
                   name + ": expected a table header such as [" + name +
                       "] at the start of a line");
    }
  }
  return document;
}

bool MatchesWildcard(std::string_view pattern, std::string_view text) {
  if (!pattern.empty() && pattern.back() == '*') {
    const std::string_view prefix = pattern.substr(0, pattern.size() - 1);
    return text.substr(0, prefix.size()) == prefix;
  }
  return pattern == text;
}

std::string TokenDigest(std::string_view token) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  EVP_Digest(token.data(), token.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  static constexpr char kHex[] = "0123456789abcdef";
  std::string text;
  for (unsigned i = 0; i < size; ++i) {
    text += kHex[digest[i] >> 4];
    text += kHex[digest[i] & 0xf];
  }
  return text;
}

}  // namespace hemlockpoint
