#include "hemlockpoint/documents/document_delta.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {
namespace {

RouteDocument MakeDocument(std::uint64_t version,
                           const std::vector<std::pair<int, int>>& routes) {
  RouteDocument document;
  document.m_version = DocumentVersion(version);
  std::map<int, int> unique(routes.begin(), routes.end());
  for (const auto& [name, timeout] : unique) {
    Route route;
    route.m_name = RouteName(std::to_string(name));
    route.m_timeout = Millis(timeout);
    document.m_routes.push_back(route);
  }
  return document;
}

std::vector<std::string> Sorted(const RouteDocument& document) {
  std::vector<std::string> routes;
  for (const Route& route : document.m_routes) {
    routes.push_back(EncodeFields(route));
  }
  std::sort(routes.begin(), routes.end());
  return routes;
}

RC_GTEST_PROP(DocumentDelta,
              TransformsOlderIntoNewer,
              (const std::vector<std::pair<int, int>>& before,
               const std::vector<std::pair<int, int>>& after)) {
  const RouteDocument older = MakeDocument(1, before);
  const RouteDocument newer = MakeDocument(2, after);
  const auto applied =
      ApplyDocumentPush(&older, MakeDocumentPush(&older, newer));
  RC_ASSERT(applied.has_value());
  RC_ASSERT(Sorted(*applied) == Sorted(newer));
}

TEST(DocumentDelta, RejectsOlderVersion) {
  const RouteDocument older = MakeDocument(1, {{1, 1}});
  const RouteDocument newer = MakeDocument(2, {{1, 2}});
  EXPECT_FALSE(ApplyDocumentPush(&newer, MakeDocumentPush(nullptr, older)));
  EXPECT_FALSE(ApplyDocumentPush(&newer, MakeDocumentPush(&older, newer)));
}

TEST(DocumentDelta, RejectsDeltaForAnotherBase) {
  const RouteDocument base = MakeDocument(3, {{1, 1}});
  const RouteDocument newer = MakeDocument(4, {{1, 2}});
  const RouteDocument current = MakeDocument(2, {{1, 1}});
  EXPECT_FALSE(ApplyDocumentPush(&current, MakeDocumentPush(&base, newer)));
  EXPECT_FALSE(ApplyDocumentPush(nullptr, MakeDocumentPush(&base, newer)));
  EXPECT_TRUE(ApplyDocumentPush(&current, MakeDocumentPush(nullptr, newer)));
}

}  // namespace
}  // namespace hemlockpoint
