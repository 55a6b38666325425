#include "hemlockpoint/transport/link_manager.h"

#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

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

// A call whose body waits for credit that the target's node doesn't grant. The
// wait must end, or its fiber and the memory of the body are lost.
class BodyWithoutCredit : public LinkManagerTest {
 protected:
  // Starts a call with an incomplete body, and runs `end_wait` 100 ms after its
  // next chunk has begun to wait. Returns whether the wait ended soon after.
  bool EndsWait(const std::function<void(OutboundCall&)>& end_wait) {
    CallStart start;
    start.m_complete = false;
    bool is_waiting = true;
    bool is_sent = true;
    OutboundCall call;
    m_pair.Run([&] {
      const Result<LinkId> link = m_pair.m_entry_links.EnsureLink(
          m_pair.m_endpoint, SteadyNow() + LinkPair::kPatience);
      call = m_pair.m_entry_links.StartCall(*link, std::move(start));
      m_pair.m_loop.Spawn([&] {
        is_sent = call.m_sender->SendBody("chunk", true);
        is_waiting = false;
      });
      m_pair.AwaitCalls(1);
      SleepFor(Millis(100));
      EXPECT_TRUE(is_waiting);
      end_wait(call);
      SleepFor(Millis(150));
      EXPECT_FALSE(is_sent && !is_waiting);
      const bool has_ended = !is_waiting;
      // So that the test ends in any case.
      call.m_state->m_request_credit.Close();
      m_has_ended = has_ended;
    });
    return m_has_ended;
  }

  bool m_has_ended = false;
};

TEST_F(BodyWithoutCredit, EndsWithTheResponse) {
  EXPECT_TRUE(EndsWait([this](OutboundCall&) { m_pair.Respond(0); }));
}

TEST_F(BodyWithoutCredit, EndsWithARefusal) {
  EXPECT_TRUE(EndsWait([this](OutboundCall&) {
    ResponseStart response;
    response.m_refusal = Refusal();
    m_pair.m_calls[0].m_sender->SendResponse(std::move(response));
  }));
}

TEST_F(BodyWithoutCredit, EndsWhenTheCallerLeaves) {
  EXPECT_TRUE(
      EndsWait([](OutboundCall& call) { call.m_state->MarkCallerGone(); }));
}

TEST_F(BodyWithoutCredit, EndsWithTheLink) {
  EXPECT_TRUE(
      EndsWait([this](OutboundCall&) { m_pair.m_target_links.Shutdown(); }));
}

TEST(SendCredit, WaitEndsAtTheDeadline) {
  FiberLoop loop;
  SendCredit credit(0);
  credit.SetDeadline(SteadyNow() + Millis(100));
  bool is_taken = true;
  Millis waited;
  loop.Spawn([&] {
    const Millis started = SteadyNow();
    is_taken = credit.Take(1);
    waited = SteadyNow() - started;
    loop.Stop();
  });
  loop.Run();
  EXPECT_FALSE(is_taken);
  EXPECT_LT(waited, Millis(1000));
}

TEST(SendCredit, AvailableCreditIsTakenAfterTheDeadline) {
  SendCredit credit(10);
  credit.SetDeadline(SteadyNow() - Millis(1));
  EXPECT_TRUE(credit.Take(5));
}

// Guards against calls and links that are kept for a peer that has vanished
// without closing its connection. The peer runs on a thread of its own, which
// the test holds up.
TEST(InboundLink, ClosesWithItsCallsOnceThePeerIsSilent) {
  // Longer than the time between two pings.
  constexpr Millis kMaxSilence(2500);
  const Endpoint endpoint = FreeEndpoint("127.0.91.2");
  FiberLoop loop;
  std::vector<InboundCall> calls;
  LinkManager links(
      loop, MakeHello("target"), 64,
      {[&](InboundCall call) { calls.push_back(std::move(call)); },
       [](LinkId, const NodeId&, const Message&) {},
       [](LinkId, const NodeId&) {}},
      kMaxSilence);
  ASSERT_FALSE(links.Listen(endpoint));
  std::atomic<bool> is_held{false};
  std::atomic<bool> is_done{false};
  std::thread peer([&] {
    FiberLoop peer_loop;
    LinkManager peer_links(
        peer_loop, MakeHello("entry"), 64,
        {[](InboundCall) {}, [](LinkId, const NodeId&, const Message&) {},
         [](LinkId, const NodeId&) {}});
    peer_loop.Spawn([&] {
      const Result<LinkId> link =
          peer_links.EnsureLink(endpoint, SteadyNow() + LinkPair::kPatience);
      EXPECT_TRUE(link);
      const OutboundCall call = peer_links.StartCall(*link, CallStart());
      while (!is_held) {
        SleepFor(Millis(20));
      }
      while (!is_done) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
      peer_links.Shutdown();
      peer_loop.Stop();
    });
    peer_loop.Run();
  });
  loop.Spawn([&] {
    while (calls.empty()) {
      SleepFor(Millis(20));
    }
    // The call sends nothing, but the peer pings the link.
    SleepFor(kMaxSilence + Millis(500));
    EXPECT_EQ(links.links(), 1U);
    is_held = true;
    SleepFor(kMaxSilence + Millis(1000));
    EXPECT_EQ(links.links(), 0U);
    EXPECT_TRUE(calls[0].m_state->m_cancelled);
    is_done = true;
    calls.clear();
    links.Shutdown();
    loop.Stop();
  });
  loop.Run();
  peer.join();
}

}  // namespace
}  // namespace hemlockpoint
