#include "hemlockpoint/transport/link_manager.h"

#include <gtest/gtest.h>

#include "support/link_pair.h"

namespace hemlockpoint {
namespace {

class LinkManagerTest : public testing::Test {
 protected:
  LinkPair m_pair{"127.0.91.1"};
};

TEST_F(LinkManagerTest, RetiredLinkDeliversTheResponsesOfItsCalls) {
  m_pair.Run([this] {
    const OutboundCall call = m_pair.StartCall();
    m_pair.AwaitCalls(1);
    m_pair.m_entry_links.RetireLinkTo(m_pair.m_endpoint);
    SleepFor(Millis(300));
    m_pair.Respond(0);
    EXPECT_TRUE(LinkPair::HasResponse(call));
  });
}

TEST_F(LinkManagerTest, RetiredLinkClosesAfterItsLastCall) {
  m_pair.Run([this] {
    const OutboundCall call = m_pair.StartCall();
    m_pair.AwaitCalls(1);
    m_pair.m_entry_links.RetireLinkTo(m_pair.m_endpoint);
    EXPECT_EQ(m_pair.m_entry_links.links(), 1U);
    m_pair.Respond(0);
    EXPECT_TRUE(LinkPair::HasResponse(call));
    SleepFor(Millis(400));
    EXPECT_EQ(m_pair.m_entry_links.links(), 0U);
  });
}

TEST_F(LinkManagerTest, RetiredLinkWithoutCallsClosesAtOnce) {
  m_pair.Run([this] {
    ASSERT_TRUE(m_pair.m_entry_links.EnsureLink(
        m_pair.m_endpoint, SteadyNow() + LinkPair::kPatience));
    m_pair.m_entry_links.RetireLinkTo(m_pair.m_endpoint);
    EXPECT_EQ(m_pair.m_entry_links.links(), 0U);
  });
}

TEST_F(LinkManagerTest, NewCallsUseANewLinkAfterTheFormerOneWasRetired) {
  m_pair.Run([this] {
    const OutboundCall old_call = m_pair.StartCall();
    m_pair.AwaitCalls(1);
    m_pair.m_entry_links.RetireLinkTo(m_pair.m_endpoint);
    const OutboundCall new_call = m_pair.StartCall();
    m_pair.AwaitCalls(2);
    EXPECT_EQ(m_pair.m_entry_links.links(), 2U);
    m_pair.Respond(1);
    EXPECT_TRUE(LinkPair::HasResponse(new_call));
    m_pair.Respond(0);
    EXPECT_TRUE(LinkPair::HasResponse(old_call));
  });
}

// A control host that is no longer the leader may still push its directory.
TEST_F(LinkManagerTest, MessagesOnARetiredLinkAreIgnored) {
  m_pair.Run([this] {
    const OutboundCall call = m_pair.StartCall();
    m_pair.m_entry_links.SendTo(m_pair.m_endpoint, Heartbeat());
    m_pair.AwaitCalls(1);
    SleepFor(Millis(100));
    ASSERT_TRUE(m_pair.m_link_at_target);
    m_pair.m_target_links.Send(*m_pair.m_link_at_target, HeartbeatAck());
    SleepFor(Millis(100));
    EXPECT_EQ(m_pair.m_messages_at_entry, 1);
    m_pair.m_entry_links.RetireLinkTo(m_pair.m_endpoint);
    m_pair.m_target_links.Send(*m_pair.m_link_at_target, DirectoryDelta());
    SleepFor(Millis(100));
    EXPECT_EQ(m_pair.m_messages_at_entry, 1);
  });
}

}  // namespace
}  // namespace hemlockpoint
