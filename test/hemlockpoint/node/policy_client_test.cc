#include "hemlockpoint/node/policy_client.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

PolicyPush MakePush(std::uint64_t revision, std::uint64_t since) {
  PolicyPush push;
  push.m_revision = Revision(revision);
  push.m_since = Revision(since);
  push.m_changed.push_back({"a", Revision(revision), "[a]\n"});
  return push;
}

TEST(PolicyClient, RejectsPushThatIsNotNewer) {
  PolicyDocument current;
  current.m_revision = Revision(7);
  EXPECT_FALSE(ApplyPush(current, MakePush(6, 0)));
  EXPECT_FALSE(ApplyPush(current, MakePush(7, 0)));
  EXPECT_TRUE(ApplyPush(current, MakePush(8, 0)));
}

TEST(PolicyClient, RejectsPushOfUnconfirmedLeader) {
  PolicyPush push = MakePush(8, 0);
  push.m_quorum_ack_age = Millis(2500);
  EXPECT_FALSE(ApplyPush(PolicyDocument(), push));
}

TEST(PolicyClient, RejectsUpdateOfUnknownBase) {
  PolicyDocument current;
  current.m_revision = Revision(5);
  EXPECT_FALSE(ApplyPush(current, MakePush(8, 6)));
  EXPECT_TRUE(ApplyPush(current, MakePush(8, 5)));
  EXPECT_TRUE(ApplyPush(current, MakePush(8, 4)));
}

TEST(PolicyClient, KeepsUnchangedAndRemovesDeletedSections) {
  PolicyDocument current;
  current.m_revision = Revision(5);
  current.m_sections["b"] = {Revision(2), "[b]\n"};
  current.m_sections["c"] = {Revision(3), "[c]\n"};
  PolicyPush push = MakePush(8, 5);
  push.m_removed = {"c"};
  const auto document = ApplyPush(current, push);
  ASSERT_TRUE(document);
  EXPECT_EQ(document->m_sections.count("a"), 1U);
  EXPECT_EQ(document->m_sections.count("b"), 1U);
  EXPECT_EQ(document->m_sections.count("c"), 0U);
}

}  // namespace
}  // namespace hemlockpoint
