#include "hemlockpoint/policy/policy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace hemlockpoint {
namespace {

const std::string kDigest(64, 'a');

std::string Platform() {
  return R"([platform]
classes = ["gate", "lookup", "bulk"]
default_class = "lookup"
[platform.sections.sales]
owner = "sales"
token_sha256 = ")" +
         kDigest + R"("
services = ["sales"]
[[platform.class]]
rule = "all-checks"
class = "bulk"
path = "/check*"
)";
}

PolicyDocument MakeDocument(const std::string& sales) {
  PolicyDocument document;
  document.m_sections["platform"].m_text = Platform();
  document.m_sections["sales"].m_text = sales;
  return document;
}

TEST(Policy, CompilesSections) {
  Findings findings;
  const Policy policy = CompilePolicy(MakeDocument(R"(
[[sales.class]]
rule = "gate"
service = "sales"
class = "gate"
)"),
                                      findings);
  ASSERT_TRUE(findings.empty()) << findings.ToText();
  ASSERT_EQ(policy.m_class_rules.size(), 2U);
  // The team's rules take precedence over the platform's.
  EXPECT_EQ(policy.m_class_rules[0].m_name.m_section, "sales");
}

TEST(Policy, ReportsEveryErrorOfEverySection) {
  Findings findings;
  (void)CompilePolicy(MakeDocument(R"(
[[sales.class]]
rule = "a"
service = "stock"
class = "king"
[[sales.cap]]
rule = "a"
service = "sales"
)"),
                      findings);
  const std::string report = findings.ToText();
  EXPECT_NE(report.find("sales:4:11: sales.class.service: section sales may "
                        "not set rules for service \"stock\""),
            std::string::npos)
      << report;
  EXPECT_NE(report.find("no such class: \"king\""), std::string::npos);
  EXPECT_NE(report.find("per_second_per_node: missing"), std::string::npos);
  EXPECT_NE(report.find("name used twice"), std::string::npos);
}

TEST(Policy, ASectionMayNotDefineAnother) {
  Findings findings;
  (void)CompilePolicy(MakeDocument("[sales]\n[platform]\nx = 1\n"), findings);
  EXPECT_NE(findings.ToText().find("platform: unknown key"), std::string::npos);
}

TEST(Policy, ASectionNeedsAGrant) {
  PolicyDocument document = MakeDocument("[sales]\n");
  document.m_sections["rogue"].m_text = "[rogue]\n";
  Findings findings;
  (void)CompilePolicy(document, findings);
  EXPECT_NE(findings.ToText().find("rogue:1:1: section is not listed"),
            std::string::npos);
}

TEST(Policy, TwoSectionsMayNotOwnOneService) {
  PolicyDocument document = MakeDocument("[sales]\n");
  document.m_sections["platform"].m_text +=
      "[platform.sections.other]\n"
      "owner = \"o\"\n"
      "token_sha256 = \"" +
      kDigest + "\"\nservices = [\"sales\"]\n";
  Findings findings;
  (void)CompilePolicy(document, findings);
  EXPECT_NE(findings.ToText().find("belongs to section other already"),
            std::string::npos)
      << findings.ToText();
}

TEST(Policy, SplitsADocumentIntoSections) {
  Findings findings;
  const PolicyDocument document = SplitDocument(
      Platform() + "[[sales.class]]\nrule = \"x\"\n", "p.toml", findings);
  EXPECT_TRUE(findings.empty()) << findings.ToText();
  ASSERT_EQ(document.m_sections.size(), 2U);
  EXPECT_EQ(document.m_sections.at("sales").m_text,
            "[[sales.class]]\nrule = \"x\"\n");
}

RC_GTEST_PROP(Policy,
              CompilesAnyTextWithoutCrashing,
              (const std::string& text)) {
  Findings findings;
  (void)CompilePolicy(MakeDocument(text), findings);
}

TEST(Policy, MatchesExactlyOrByPrefix) {
  EXPECT_TRUE(MatchesWildcard("*", "anything"));
  EXPECT_TRUE(MatchesWildcard("/book*", "/book/1"));
  EXPECT_FALSE(MatchesWildcard("/book", "/book/1"));
  EXPECT_FALSE(MatchesWildcard("/book*", "/boo"));
}

// Each folder named "policy" in the examples holds one document, with one file
// per section.
TEST(Policy, ExamplesAreValid) {
  namespace fs = std::filesystem;
  std::size_t documents = 0;
  for (const auto& folder :
       fs::recursive_directory_iterator(HEMLOCKPOINT_EXAMPLES)) {
    if (!folder.is_directory() || folder.path().filename() != "policy") {
      continue;
    }
    PolicyDocument document;
    for (const auto& file : fs::directory_iterator(folder.path())) {
      std::ifstream input(file.path());
      std::ostringstream text;
      text << input.rdbuf();
      document.m_sections[file.path().stem().string()].m_text = text.str();
    }
    Findings findings;
    (void)CompilePolicy(document, findings);
    EXPECT_TRUE(findings.empty()) << folder.path() << "\n" << findings.ToText();
    ++documents;
  }
  EXPECT_GT(documents, 0U);
}

}  // namespace
}  // namespace hemlockpoint
