#include "hemlockpoint/routes/route_table.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>

namespace hemlockpoint {
namespace {

Route MakeRoute(const char* name, const char* host, const char* prefix) {
  Route route;
  route.m_name = RouteName(name);
  route.m_host = host;
  route.m_path_prefix = prefix;
  route.m_timeout = Millis(1000);
  route.m_services = {{ServiceName("stock"), 1}};
  return route;
}

std::string FindRouteName(const RouteTable& table,
                          const char* host,
                          const char* path) {
  const Route* route = FindRoute(table, host, path);
  return route == nullptr ? "" : route->m_name.value();
}

TEST(RouteTable, MatchesLongestPrefixOfHost) {
  RouteDocument document;
  document.m_routes = {MakeRoute("all", "a.example", "/"),
                       MakeRoute("deep", "a.example", "/x/y/"),
                       MakeRoute("flat", "a.example", "/x/"),
                       MakeRoute("other", "b.example", "/x/")};
  const auto table = MakeRouteTable(document);
  EXPECT_EQ(FindRouteName(*table, "a.example", "/x/y/1?q=/"), "deep");
  EXPECT_EQ(FindRouteName(*table, "A.example:80", "/x/y"), "flat");
  EXPECT_EQ(FindRouteName(*table, "a.example", "/xx/"), "all");
  EXPECT_EQ(FindRouteName(*table, "b.example", "/y/"), "");
  EXPECT_EQ(FindRouteName(*table, "c.example", "/x/"), "");
  EXPECT_EQ(FindRouteName(*table, "b.example", ""), "");
}

RC_GTEST_PROP(RouteTable, DistributesRequestsByWeight, ()) {
  Route route = MakeRoute("r", "h", "/");
  const auto weight = *rc::gen::inRange<std::uint64_t>(0, 101);
  route.m_services = {{ServiceName("a"), weight},
                      {ServiceName("b"), 100 - weight}};
  int first_count = 0;
  constexpr int kDraws = 1000;
  for (int i = 0; i < kDraws; ++i) {
    first_count +=
        ChooseService(route, i / double{kDraws}) == ServiceName("a") ? 1 : 0;
  }
  // Rounding may move one draw across the boundary between the two services.
  RC_ASSERT(std::abs(first_count - static_cast<int>(weight) * 10) <= 1);
}

TEST(RouteDocument, CheckReportsEveryError) {
  RouteDocument document;
  document.m_services = {{ServiceName("stock"), "/h", 1}};
  Route route = MakeRoute("bad", "", "x/");
  route.m_max_attempts = 0;
  route.m_services = {{ServiceName("none"), 1}};
  document.m_routes = {route, MakeRoute("good", "h", "/")};
  Findings findings;
  CheckRouteDocument(document, findings);
  EXPECT_EQ(findings.items().size(), 4U) << findings.ToText();
}

TEST(RouteDocument, CheckRejectsMissingTimeoutMissingWeightAndDuplicate) {
  RouteDocument document;
  document.m_services = {{ServiceName("stock"), "/h", 1}};
  const Route good = MakeRoute("good", "h", "/");
  Route no_timeout = MakeRoute("a", "h", "/a/");
  no_timeout.m_timeout = Millis(0);
  Route no_weight = MakeRoute("b", "h", "/b/");
  no_weight.m_services = {{ServiceName("stock"), 0}};
  document.m_routes = {good, no_timeout, no_weight, good};
  Findings findings;
  CheckRouteDocument(document, findings);
  EXPECT_EQ(findings.items().size(), 3U) << findings.ToText();
}

}  // namespace
}  // namespace hemlockpoint
