#include "hemlockpoint/config/settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <string>

namespace hemlockpoint {
namespace {

constexpr const char* kValidDocument = R"(
[node]
name = "n1"
group = "g"
region = "volta-coast"
failure_domain = "songor"
roles = ["node"]
[listen]
http = "127.0.0.1:7000"
peer = "127.0.0.1:7001"
admin = "127.0.0.1:7002"
[control]
hosts = [{ name = "c1", peer = "127.0.0.2:7001" }]
)";

TEST(Settings, ParsesAValidDocument) {
  Findings findings;
  const auto settings = ParseSettings(kValidDocument, "s.toml", findings);
  ASSERT_TRUE(settings) << findings.ToText();
  EXPECT_TRUE(settings->m_is_node);
  EXPECT_FALSE(settings->m_is_control);
  EXPECT_EQ(settings->m_control_hosts.size(), 1U);
}

TEST(Settings, ReportsEveryErrorWithItsLocation) {
  Findings findings;
  const char* text = R"([node]
name = "bad name"
group = "g"
region = "r"
failure_domain = "f"
roles = ["node", "king"]
[listen]
http = "localhost:7000"
peer = "127.0.0.1:7001"
admin = "127.0.0.1:7002"
colour = "red"
[control]
hosts = []
[limits]
body_mib = -1
)";
  EXPECT_FALSE(ParseSettings(text, "s.toml", findings));
  const std::string report = findings.ToText();
  EXPECT_NE(report.find("s.toml:2:8: node.name"), std::string::npos) << report;
  EXPECT_NE(report.find("unknown role \"king\""), std::string::npos);
  EXPECT_NE(report.find("s.toml:8:8: listen.http"), std::string::npos);
  EXPECT_NE(report.find("listen.colour: unknown key"), std::string::npos);
  EXPECT_NE(report.find("control.hosts: expected 1 to 7"), std::string::npos);
  EXPECT_NE(report.find("limits.body_mib: out of range"), std::string::npos);
}

TEST(Settings, RejectsDeepNestingBeforeItIsParsed) {
  std::string dotted_key = "a";
  for (int i = 0; i < 10000; ++i) {
    dotted_key += ".a";
  }
  for (const std::string& text :
       {"x = " + std::string(250, '['), dotted_key + " = 1",
        "[" + dotted_key + "]"}) {
    Findings findings;
    EXPECT_FALSE(ParseSettings(text, "s.toml", findings));
    EXPECT_NE(findings.ToText().find("nested too deeply"), std::string::npos);
  }
}

TEST(Settings, ReportsASyntaxError) {
  Findings findings;
  EXPECT_FALSE(ParseSettings("[node\nname=", "s.toml", findings));
  ASSERT_EQ(findings.items().size(), 1U);
  EXPECT_EQ(findings.items()[0].m_location.m_line, 1U);
}

TEST(Settings, ReportsAnUnreadableFile) {
  Findings findings;
  EXPECT_FALSE(LoadSettings("/does/not/exist.toml", findings));
  EXPECT_EQ(findings.items()[0].m_text, "cannot be read");
}

RC_GTEST_PROP(Settings, ParsesOrRejectsAnyText, (const std::string& text)) {
  Findings findings;
  const auto settings = ParseSettings(text, "s.toml", findings);
  RC_ASSERT(settings || !findings.empty());
}

TEST(Settings, ExamplesAreValid) {
  std::size_t count = 0;
  for (const auto& entry :
       std::filesystem::recursive_directory_iterator(HEMLOCKPOINT_EXAMPLES)) {
    const bool is_policy = entry.path().parent_path().filename() == "policy";
    if (entry.path().extension() != ".toml" || is_policy) {
      continue;
    }
    Findings findings;
    EXPECT_TRUE(LoadSettings(entry.path().string(), findings))
        << findings.ToText();
    ++count;
  }
  EXPECT_GT(count, 0U);
}

}  // namespace
}  // namespace hemlockpoint
