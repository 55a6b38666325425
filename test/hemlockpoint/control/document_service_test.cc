#include "hemlockpoint/control/document_service.h"

#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "hemlockpoint/wire/codec.h"
#include "support/raft_host.h"

namespace hemlockpoint {
namespace {

// More versions than the leader keeps for computing differences.
constexpr std::uint64_t kMaxLag = 20;
constexpr std::uint64_t kVersions = 2 * kMaxLag;

// Version N has a route of its own, rN, beside one that all versions have.
Result<RouteDocument> ParseTestDocument(const std::string& text) {
  RouteDocument document;
  document.m_version = DocumentVersion(std::stoull(text));
  for (const std::string& name : {std::string("shared"), "r" + text}) {
    Route route;
    route.m_name = RouteName(name);
    route.m_path_prefix = "/" + name + "/";
    document.m_routes.push_back(route);
  }
  return document;
}

std::vector<std::string> RouteNames(const RouteDocument& document) {
  std::vector<std::string> names;
  for (const Route& route : document.m_routes) {
    names.push_back(route.m_name.value());
  }
  return names;
}

DocumentPush Decode(const std::shared_ptr<const std::string>& encoded) {
  const Result<Message> message =
      encoded ? DecodeMessage(*encoded) : Result<Message>::Failure("no push");
  const auto* push = message ? std::get_if<DocumentPush>(&*message) : nullptr;
  EXPECT_NE(push, nullptr);
  return push == nullptr ? DocumentPush() : *push;
}

class DocumentServiceTest : public testing::Test {
 protected:
  void CommitVersion(std::uint64_t version) {
    DocumentChange change;
    change.m_base = m_state.m_documents.m_version;
    change.m_version = DocumentVersion(version);
    change.m_text.m_data = std::to_string(version);
    ASSERT_EQ(m_documents.Change(change).m_kind,
              DocumentOutcome::Kind::kAccepted);
  }

  std::shared_ptr<const std::string> PushFor(std::uint64_t version) {
    return m_documents.EncodedPushFor(DocumentVersion(version), false,
                                      SteadyNow());
  }

  // Expects that a node with version `version` gets to `newest`.
  void ExpectUpdate(std::uint64_t version, std::uint64_t newest) {
    const DocumentPush push = Decode(PushFor(version));
    const auto current = ParseTestDocument(std::to_string(version));
    const auto updated = ApplyDocumentPush(&*current, push);
    ASSERT_TRUE(updated) << version << " since " << push.m_since.value();
    EXPECT_EQ(updated->m_version, DocumentVersion(newest));
    EXPECT_EQ(
        RouteNames(*updated),
        (std::vector<std::string>{"shared", "r" + std::to_string(newest)}))
        << version << " since " << push.m_since.value();
  }

  ReplicatedState m_state;
  RaftHost m_host{
      "documents",
      "127.0.90.2",
      {[this](const LogEntry& entry) { ApplyLogEntry(m_state, entry); },
       [](const std::string&) {},
       [this] { return EncodeReplicatedState(m_state); }}};
  DocumentService m_documents{m_host.m_group, m_state, ParseTestDocument,
                              [] { return std::string(); }};
};

// Guards against a leader that aborts when the first node that is sent a new
// document has the oldest one that is kept for computing differences.
TEST_F(DocumentServiceTest, TheFirstNodeMayLagByAnyNumberOfVersions) {
  m_host.RunAsLeader([&] {
    for (std::uint64_t version = 1; version <= kVersions; ++version) {
      CommitVersion(version);
      // From kMaxLag on, each lag is that of the first node once.
      for (std::uint64_t i = 0; i < kMaxLag; ++i) {
        const std::uint64_t lag = (version + i) % kMaxLag + 1;
        if (lag < version) {
          ExpectUpdate(version - lag, version);
        }
      }
    }
  });
}

// Guards against a leader that encodes the whole document for each node that
// lags far behind.
TEST_F(DocumentServiceTest, NodesThatLagFarBehindShareOneEncodedPush) {
  m_host.RunAsLeader([&] {
    for (std::uint64_t version = 1; version <= kVersions; ++version) {
      CommitVersion(version);
      ExpectUpdate(version - 1, version);
    }
    const auto push = PushFor(kVersions - kMaxLag);
    EXPECT_EQ(Decode(push).m_since, DocumentVersion());
    EXPECT_EQ(PushFor(kVersions - kMaxLag - 1), push);
  });
}

}  // namespace
}  // namespace hemlockpoint
