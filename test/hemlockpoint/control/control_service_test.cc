#include "hemlockpoint/control/control_service.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <variant>

#include "support/link_pair.h"

namespace hemlockpoint {
namespace {

namespace fs = std::filesystem;

const char* const kAddress = "127.0.90.1";
const ServiceName kStock("stock");

// The text of a document is its version.
Result<RouteDocument> ParseTestDocument(const std::string& text) {
  RouteDocument document;
  document.m_version = DocumentVersion(std::stoull(text));
  return document;
}

// A group of one control host, and a node that sends it heartbeats.
class ControlServiceTest : public testing::Test {
 protected:
  ControlServiceTest()
      : m_folder(fs::temp_directory_path() /
                 ("hemlockpoint-control-" + std::to_string(::getpid()))),
        m_settings(MakeSettings()),
        m_links(m_loop,
                MakeHello("c1"),
                64,
                {[](InboundCall) {},
                 [this](LinkId link, const NodeId&, const Message& message) {
                   if (const auto* beat = std::get_if<Heartbeat>(&message)) {
                     m_control.Handle(link, *beat);
                   }
                 },
                 [this](LinkId link, const NodeId&) {
                   m_control.OnLinkClosed(link);
                 }}),
        m_control(m_settings, m_loop, m_links, ParseTestDocument),
        m_node_links(m_loop,
                     MakeHello("n1"),
                     64,
                     {[](InboundCall) {},
                      [this](LinkId, const NodeId&, const Message& message) {
                        HandleAtNode(message);
                      },
                      [](LinkId, const NodeId&) {}}) {}

  ~ControlServiceTest() override { fs::remove_all(m_folder); }

  Settings MakeSettings() {
    Settings settings;
    settings.m_node = NodeId("c1");
    settings.m_group = "test";
    settings.m_is_control = true;
    settings.m_mode = ServingMode::kRoutes;
    settings.m_peer = FreeEndpoint(kAddress);
    settings.m_seeds = {settings.m_peer};
    settings.m_may_form_group = true;
    settings.m_data_folder = m_folder.string();
    return settings;
  }

  void HandleAtNode(const Message& message) {
    if (const auto* ack = std::get_if<HeartbeatAck>(&message)) {
      if (ack->m_is_leader && m_leader_since == Millis(0)) {
        m_leader_since = SteadyNow();
      }
    } else if (const auto* delta = std::get_if<DirectoryDelta>(&message)) {
      m_origin = delta->m_origin;
      m_full_deltas += delta->m_is_full ? 1 : 0;
      ++m_deltas;
    } else if (const auto* push = std::get_if<DocumentPush>(&message)) {
      m_document_at_node = push->m_version;
      ++m_document_pushes;
    }
  }

  // Commits a document each `period` while the host leads.
  void ChangeDocuments(int count, Millis period) {
    while (m_leader_since == Millis(0)) {
      SleepFor(Millis(5));
    }
    for (int i = 1; i <= count; ++i) {
      DocumentChange change;
      change.m_base = m_control.state().m_documents.m_version;
      change.m_version = DocumentVersion(static_cast<std::uint64_t>(i));
      change.m_text.m_data = std::to_string(i);
      EXPECT_EQ(m_control.documents().Change(change).m_kind,
                DocumentOutcome::Kind::kAccepted);
      SleepFor(period);
    }
  }

  // Sends heartbeats until the host has been the leader for `duration`.
  void RunHeartbeats(Millis period, Millis duration) {
    ASSERT_FALSE(m_links.Listen(m_settings.m_peer));
    ASSERT_FALSE(m_control.Start());
    m_loop.Spawn([&, period, duration] {
      const Millis give_up_at = SteadyNow() + Millis(10'000);
      const auto is_done = [&] {
        const Millis now = SteadyNow();
        return now > give_up_at ||
               (m_leader_since != Millis(0) && now > m_leader_since + duration);
      };
      while (!is_done()) {
        const Result<LinkId> link =
            m_node_links.EnsureLink(m_settings.m_peer, give_up_at);
        if (link) {
          Heartbeat heartbeat;
          heartbeat.m_member.m_node = NodeId("n1");
          heartbeat.m_member.m_target.m_service = kStock;
          heartbeat.m_interests = {kStock};
          heartbeat.m_directory_origin = m_origin;
          if (m_reports_documents) {
            heartbeat.m_member.m_document = m_document_at_node;
          }
          m_node_links.Send(*link, heartbeat);
        }
        SleepFor(period);
      }
      m_node_links.Shutdown();
      m_links.Shutdown();
      m_loop.Stop();
    });
    m_loop.Run();
  }

  fs::path m_folder;
  Settings m_settings;
  FiberLoop m_loop;
  LinkManager m_links;
  ControlService m_control;
  LinkManager m_node_links;
  // As seen by the node.
  std::string m_origin = "former-leader-1";
  Millis m_leader_since;
  int m_deltas = 0;
  int m_full_deltas = 0;
  bool m_reports_documents = true;
  DocumentVersion m_document_at_node;
  int m_document_pushes = 0;
};

// Guards against a full delta from a leader that has heard of few nodes: the
// others would lose their calls in flight. Heartbeats arrive in each
// millisecond, so some arrive between the election and the next periodic task.
TEST_F(ControlServiceTest,
       NewLeaderSendsNoFullDeltaBeforeItHasHeardOfAllNodes) {
  RunHeartbeats(Millis(1), Millis(500));
  EXPECT_NE(m_leader_since, Millis(0));
  EXPECT_GT(m_deltas, 0);
  EXPECT_EQ(m_full_deltas, 0);
}

// Each delta names the directory of the term in which the host was elected, so
// that a node knows what its version counts for.
TEST_F(ControlServiceTest, FirstDeltaOfALeaderNamesItsDirectory) {
  RunHeartbeats(Millis(1), Millis(200));
  EXPECT_EQ(m_origin,
            "c1-" + std::to_string(m_control.group().raft().m_hard.m_term));
}

constexpr int kChanges = 25;
constexpr Millis kChangePeriod(100);

// Guards against a leader whose memory grows with each change by a document for
// each node that doesn't read.
TEST_F(ControlServiceTest, ANodeThatReportsNoDocumentIsSentOneEachSecond) {
  m_reports_documents = false;
  const Millis started = SteadyNow();
  m_loop.Spawn([&] { ChangeDocuments(kChanges, kChangePeriod); });
  RunHeartbeats(Millis(50), kChangePeriod * (kChanges + 5));
  EXPECT_GT(m_document_pushes, 1);
  EXPECT_LE(m_document_pushes, 1 + (SteadyNow() - started) / Millis(1000));
}

TEST_F(ControlServiceTest, ANodeThatReportsItsDocumentsFollowsEachChange) {
  m_loop.Spawn([&] { ChangeDocuments(kChanges, kChangePeriod); });
  RunHeartbeats(Millis(10), kChangePeriod * (kChanges + 5));
  EXPECT_EQ(m_document_at_node, DocumentVersion(kChanges));
  EXPECT_GT(m_document_pushes, kChanges * 3 / 4);
}

}  // namespace
}  // namespace hemlockpoint
