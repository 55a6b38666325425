#include "hemlockpoint/node/announcement.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockpoint {
namespace {

TEST(Announcement, ReadsAllFields) {
  const auto announcement = ParseAnnouncement(
      R"({"service":"stock","address":"127.0.0.1:80","slots":4,)"
      R"("connections":40,"state":"draining","incarnation":"7"})");
  ASSERT_TRUE(announcement) << announcement.reason();
  EXPECT_TRUE(announcement->m_draining);
  EXPECT_EQ(announcement->m_slots, 4U);
}

TEST(Announcement, ReportsTheFirstInvalidField) {
  EXPECT_EQ(ParseAnnouncement("[]").reason(), "the body is not a JSON object");
  EXPECT_EQ(ParseAnnouncement("{}").reason(),
            "service: expected 1 to 64 bytes");
  EXPECT_EQ(
      ParseAnnouncement(R"({"service":"s","address":"1.1.1.1:1","slots":-4})")
          .reason(),
      "slots: expected 1 to 65536");
}

RC_GTEST_PROP(Announcement,
              DoesNotCrashOnArbitraryText,
              (const std::string& text)) {
  (void)ParseAnnouncement(text);
}

}  // namespace
}  // namespace hemlockpoint
