#include "hemlockpoint/policy/store.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

constexpr const char* kAdmin = "admin-token";

std::string PlatformText() {
  return "[platform]\nclasses = [\"a\"]\ndefault_class = \"a\"\n"
         "[platform.sections.sales]\nowner = \"sales\"\ntoken_sha256 = \"" +
         TokenDigest("sales-token") + "\"\nservices = [\"sales\"]\n";
}

PolicyChange MakeChange(const std::string& section,
                        std::uint64_t base,
                        const std::string& id,
                        const std::string& token,
                        const std::string& text) {
  PolicyChange change;
  change.m_section = section;
  change.m_base = Revision(base);
  change.m_change_id = id;
  change.m_actor = "op-" + id;
  change.m_token_sha256 = TokenDigest(token);
  change.m_text = text;
  return change;
}

PolicyStore MakeStore() {
  PolicyStore store;
  store.m_admin_token_sha256 = TokenDigest(kAdmin);
  const auto result = ApplyPolicyChange(
      store, MakeChange("platform", 0, "p1", kAdmin, PlatformText()));
  EXPECT_EQ(result.m_status, PolicyChangeStatus::kAccepted);
  return store;
}

TEST(PolicyStore, AcceptsOneOfTwoChangesWithTheSameBase) {
  PolicyStore store = MakeStore();
  const auto first = ApplyPolicyChange(
      store, MakeChange("sales", 0, "s1", "sales-token", "[sales]\n"));
  const auto second = ApplyPolicyChange(
      store, MakeChange("sales", 0, "s2", "sales-token", "[sales]\n# 2\n"));
  EXPECT_EQ(first.m_status, PolicyChangeStatus::kAccepted);
  EXPECT_EQ(second.m_status, PolicyChangeStatus::kConflict);
  EXPECT_EQ(second.m_winning_change.m_change_id, "s1");
  EXPECT_EQ(second.m_winning_change.m_actor, "op-s1");
}

TEST(PolicyStore, AResentChangeReturnsItsFirstResult) {
  PolicyStore store = MakeStore();
  const PolicyChange change =
      MakeChange("sales", 0, "s1", "sales-token", "[sales]\n");
  const auto first = ApplyPolicyChange(store, change);
  ApplyPolicyChange(store, MakeChange("sales", first.m_revision.value(), "s2",
                                      "sales-token", "[sales]\n# 2\n"));
  const auto resent = ApplyPolicyChange(store, change);
  EXPECT_EQ(resent.m_status, PolicyChangeStatus::kAccepted);
  EXPECT_EQ(resent.m_revision, first.m_revision);
  EXPECT_EQ(store.m_document.m_revision.value(), 3U);
}

TEST(PolicyStore, AResentChangeReturnsItsFirstResultAfterASnapshot) {
  PolicyStore store = MakeStore();
  const PolicyChange change =
      MakeChange("sales", 0, "s1", "sales-token", "[sales]\n");
  const auto first = ApplyPolicyChange(store, change);
  auto restored = DecodePolicyStore(EncodePolicyStore(store));
  ASSERT_TRUE(restored) << restored.reason();
  const auto resent = ApplyPolicyChange(*restored, change);
  EXPECT_EQ(resent.m_status, PolicyChangeStatus::kAccepted);
  EXPECT_EQ(resent.m_revision, first.m_revision);
}

TEST(PolicyStore, ATokenChangesOnlyItsOwnSection) {
  PolicyStore store = MakeStore();
  EXPECT_EQ(ApplyPolicyChange(store, MakeChange("platform", 1, "x",
                                                "sales-token", PlatformText()))
                .m_status,
            PolicyChangeStatus::kForbidden);
  EXPECT_EQ(
      ApplyPolicyChange(store, MakeChange("sales", 0, "y", kAdmin, "[sales]\n"))
          .m_status,
      PolicyChangeStatus::kForbidden);
}

TEST(PolicyStore, AnInvalidDocumentChangesNothing) {
  PolicyStore store = MakeStore();
  const auto result = ApplyPolicyChange(
      store, MakeChange("sales", 0, "s1", "sales-token", "[sales]\nx = 1\n"));
  EXPECT_EQ(result.m_status, PolicyChangeStatus::kInvalid);
  ASSERT_EQ(result.m_findings.size(), 1U);
  EXPECT_EQ(result.m_findings[0].m_location.m_line, 2U);
  EXPECT_EQ(store.m_document.m_revision.value(), 1U);
}

TEST(PolicyStore, RejectsRemovingAClassThatARuleUses) {
  PolicyStore store = MakeStore();
  ApplyPolicyChange(store, MakeChange("sales", 0, "s1", "sales-token",
                                      "[[sales.class]]\nrule = \"r\"\n"
                                      "service = \"sales\"\nclass = \"a\"\n"));
  std::string text = PlatformText();
  text.replace(text.find("[\"a\"]"), 5, "[\"b\"]");
  text.replace(text.find("= \"a\""), 5, "= \"b\"");
  const auto result =
      ApplyPolicyChange(store, MakeChange("platform", 1, "p2", kAdmin, text));
  EXPECT_EQ(result.m_status, PolicyChangeStatus::kInvalid);
  EXPECT_EQ(result.m_findings[0].m_location.m_source, "sales");
}

TEST(PolicyStore, LimitsHistoryAndStoredResults) {
  PolicyStore store = MakeStore();
  std::uint64_t base = 0;
  for (int i = 0; i < 1500; ++i) {
    base = ApplyPolicyChange(store,
                             MakeChange("sales", base, "c" + std::to_string(i),
                                        "sales-token", "[sales]\n"))
               .m_revision.value();
  }
  EXPECT_LE(store.m_history.size(), kMaxHistoryEntries);
  EXPECT_LE(store.m_results_by_change_id.size(), kMaxChangeIds);
  EXPECT_EQ(store.m_document.m_revision.value(), 1501U);
}

}  // namespace
}  // namespace hemlockpoint
