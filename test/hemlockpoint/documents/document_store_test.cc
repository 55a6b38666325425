#include "hemlockpoint/documents/document_store.h"

#include <gtest/gtest.h>

#include "hemlockpoint/wire/codec.h"

namespace hemlockpoint {
namespace {

DocumentChange MakeChange(std::uint64_t base,
                          std::uint64_t version,
                          const char* text) {
  DocumentChange change;
  change.m_base = DocumentVersion(base);
  change.m_version = DocumentVersion(version);
  change.m_text.m_data = text;
  return change;
}

TEST(DocumentStore, AcceptsOneOfTwoConflictingChanges) {
  DocumentStore store;
  EXPECT_EQ(ApplyDocumentChange(store, MakeChange(0, 4, "a")),
            DocumentChangeStatus::kAccepted);
  EXPECT_EQ(ApplyDocumentChange(store, MakeChange(4, 7, "b")),
            DocumentChangeStatus::kAccepted);
  // The version is the same, but the text differs.
  EXPECT_EQ(ApplyDocumentChange(store, MakeChange(4, 7, "c")),
            DocumentChangeStatus::kConflict);
  EXPECT_EQ(store.m_text, "b");
}

TEST(DocumentStore, AcceptsResendAfterLaterChangesAndSnapshot) {
  DocumentStore store;
  constexpr std::uint64_t kChanges = 500;
  for (std::uint64_t i = 0; i < kChanges; ++i) {
    ASSERT_EQ(ApplyDocumentChange(store, MakeChange(i, i + 1, "x")),
              DocumentChangeStatus::kAccepted);
  }
  auto restored = DecodeDocumentStore(EncodeDocumentStore(store));
  ASSERT_TRUE(restored) << restored.reason();
  EXPECT_EQ(ApplyDocumentChange(*restored, MakeChange(0, 1, "x")),
            DocumentChangeStatus::kAccepted);
  EXPECT_EQ(restored->m_version, DocumentVersion(kChanges));
}

TEST(DocumentStore, RejectsVersionThatIsNotHigher) {
  DocumentStore store;
  (void)ApplyDocumentChange(store, MakeChange(0, 4, "a"));
  EXPECT_EQ(EvaluateDocumentChange(store, MakeChange(4, 4, "b")),
            DocumentChangeStatus::kVersionNotNewer);
}

// Control hosts send the store in one message, as part of a snapshot.
TEST(DocumentStore, WithTheLargestDocumentFitsIntoAMessage) {
  constexpr std::size_t kLargestDocumentBytes = std::size_t{1024} * 1024;
  DocumentStore store;
  for (std::uint64_t i = 0; i < kMaxAcceptedChanges; ++i) {
    (void)ApplyDocumentChange(store, MakeChange(i, i + 1, "x"));
  }
  store.m_text = std::string(kLargestDocumentBytes, 'x');
  EXPECT_LT(EncodeDocumentStore(store).size(), kMaxMessageBytes * 3 / 4);
}

}  // namespace
}  // namespace hemlockpoint
