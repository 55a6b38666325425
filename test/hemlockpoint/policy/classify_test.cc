#include "hemlockpoint/policy/classify.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

Policy MakePolicy() {
  Policy policy = DefaultPolicy();
  policy.m_classes = {"gate", "lookup"};
  policy.m_default_class = 1;
  ClassRule rule;
  rule.m_name = {"sales", "gate"};
  rule.m_work.m_caller = "gate-1";
  rule.m_class = 0;
  policy.m_class_rules.push_back(rule);
  policy.m_callers.push_back({CallerName("gate-1"), TokenDigest("secret")});
  return policy;
}

TEST(ClassifyCall, UsesTheFirstMatchingRule) {
  const Policy policy = MakePolicy();
  EXPECT_EQ(ClassifyCall(policy, {"gate-1", "sales", "GET", "/x"}).m_class, 0U);
  EXPECT_EQ(ClassifyCall(policy, {"other", "sales", "GET", "/x"}).m_class, 1U);
}

TEST(ClassifyCall, IgnoresACallerNameWithoutItsToken) {
  const Policy policy = MakePolicy();
  EXPECT_EQ(IdentifyCaller(policy, "gate-1", "secret").value(), "gate-1");
  for (const char* token : {"", "wrong"}) {
    const CallerName caller = IdentifyCaller(policy, "gate-1", token);
    EXPECT_EQ(
        ClassifyCall(policy, {caller.value(), "sales", "GET", "/x"}).m_class,
        1U);
  }
}

TEST(ClassifyCall, AnUnlistedCallerMatchesNoRule) {
  Policy policy = MakePolicy();
  policy.m_class_rules[0].m_work.m_caller = "gate-*";
  const CallerName caller = IdentifyCaller(policy, "gate-9", "");
  EXPECT_EQ(
      ClassifyCall(policy, {caller.value(), "sales", "GET", "/x"}).m_class, 1U);
}

TEST(ClassifyCall, PostIsNotIdempotentByDefault) {
  const Policy policy = DefaultPolicy();
  EXPECT_FALSE(ClassifyCall(policy, {"a", "s", "POST", "/x"}).m_idempotent);
  EXPECT_TRUE(ClassifyCall(policy, {"a", "s", "GET", "/x"}).m_idempotent);
  EXPECT_TRUE(ClassifyCall(policy, {"a", "s", "PUT", "/x"}).m_idempotent);
}

}  // namespace
}  // namespace hemlockpoint
