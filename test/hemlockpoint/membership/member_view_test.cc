#include "hemlockpoint/membership/member_view.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

const ServiceName kStock("stock");

MemberEntry MakeMember(const std::string& name, std::uint64_t incarnation) {
  MemberEntry member;
  member.m_node = NodeId(name);
  member.m_incarnation = incarnation;
  member.m_peer = name;
  member.m_target.m_service = kStock;
  member.m_target.m_slots = 4;
  return member;
}

struct View {
  std::vector<std::string> Apply(const DirectoryDelta& delta) {
    return MergeDirectoryDelta(m_members, m_services, delta, Millis(0));
  }
  std::map<NodeId, MemberEntry> m_members;
  std::map<ServiceName, Balancer> m_services;
};

TEST(MemberView, AddsAndRemovesTargets) {
  View view;
  DirectoryDelta delta;
  delta.m_changed = {MakeMember("a", 1), MakeMember("b", 1)};
  EXPECT_TRUE(view.Apply(delta).empty());
  EXPECT_EQ(view.m_services[kStock].m_targets.size(), 2U);
  DirectoryDelta gone;
  gone.m_gone = {NodeId("a")};
  EXPECT_EQ(view.Apply(gone), std::vector<std::string>({"a"}));
  EXPECT_EQ(view.m_services[kStock].m_targets.size(), 1U);
}

TEST(MemberView, FullDeltaRemovesUnlistedMembers) {
  View view;
  DirectoryDelta delta;
  delta.m_changed = {MakeMember("a", 1), MakeMember("b", 1)};
  view.Apply(delta);
  DirectoryDelta full;
  full.m_is_full = true;
  full.m_services = {kStock};
  full.m_changed = {MakeMember("b", 1)};
  EXPECT_EQ(view.Apply(full).size(), 1U);
  EXPECT_EQ(view.m_members.size(), 1U);
}

TEST(MemberView, ReportsLinkOfRestartedNodeAsStale) {
  View view;
  DirectoryDelta delta;
  delta.m_changed = {MakeMember("a", 1)};
  view.Apply(delta);
  delta.m_changed = {MakeMember("a", 2)};
  EXPECT_EQ(view.Apply(delta), std::vector<std::string>({"a"}));
}

}  // namespace
}  // namespace hemlockpoint
