#ifndef HEMLOCKPOINT_ROUTES_ROUTE_DOCUMENT_H_
#define HEMLOCKPOINT_ROUTES_ROUTE_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hemlockpoint/base/findings.h"
#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Version that the author of a route document assigns to it.
using DocumentVersion = NumberId<struct DocumentVersionTag>;
using RouteName = StringId<struct RouteNameTag>;

/// @brief How often the work of a route may run, and whether its body is long.
enum class WorkKind : unsigned char {
  /// Idempotent; may run more than once.
  kSafe,
  /// Runs at most once for each request.
  kUnsafe,
  /// As kUnsafe, and the body is long. Nodes treat both alike.
  kUpload,
};

inline constexpr std::uint64_t kWorkKindCount = 3;

/// @brief A service that receives a weighted share of a route's requests.
struct WeightedService {
  ServiceName m_service;
  std::uint64_t m_weight = 1;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("s", self.m_service);
    visit("w", self.m_weight);
  }
};

/// @brief Destination and limits of the requests for a host and path prefix.
struct Route {
  RouteName m_name;
  std::string m_host;
  std::string m_path_prefix;
  WorkKind m_kind = WorkKind::kUnsafe;
  /// Maximum time until the final response.
  Millis m_timeout;
  /// Latency objective; 0 for none.
  Millis m_objective;
  /// Rank of importance; 0 is the most important.
  std::uint64_t m_rank = 0;
  /// Maximum number of attempts that reach a target. Reroutes don't count.
  std::uint64_t m_max_attempts = 1;
  std::vector<WeightedService> m_services;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("n", self.m_name);
    visit("h", self.m_host);
    visit("p", self.m_path_prefix);
    visit("k", self.m_kind);
    visit("t", self.m_timeout);
    visit("o", self.m_objective);
    visit("r", self.m_rank);
    visit("a", self.m_max_attempts);
    visit("s", self.m_services);
  }
};

/// @brief Configuration of a service in a route document.
struct ServiceConfig {
  ServiceName m_name;
  /// Path of the targets' health check; empty if they have none.
  std::string m_health_path;
  /// Maximum number of connections to one target, which its node opens; 0 uses
  /// the limit from the settings of that node.
  std::uint64_t m_max_connections = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("n", self.m_name);
    visit("h", self.m_health_path);
    visit("c", self.m_max_connections);
  }
};

/// @brief Limits on incoming requests, applied to every listener for callers. A
/// value of 0 keeps the limit that the node has without a document, except that
/// m_idle_timeout 0 disables the timeout.
struct CallerBounds {
  std::uint64_t m_header_bytes = 0;
  std::uint64_t m_body_bytes = 0;
  Millis m_head_timeout;
  Millis m_idle_timeout;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("h", self.m_header_bytes);
    visit("b", self.m_body_bytes);
    visit("t", self.m_head_timeout);
    visit("i", self.m_idle_timeout);
  }
};

/// @brief Routes, services and caller limits, distributed to all nodes.
struct RouteDocument {
  DocumentVersion m_version;
  std::vector<Route> m_routes;
  std::vector<ServiceConfig> m_services;
  CallerBounds m_bounds;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("v", self.m_version);
    visit("r", self.m_routes);
    visit("s", self.m_services);
    visit("b", self.m_bounds);
  }
};

/// @brief Adds a finding for each error that makes a document invalid: an
/// unknown service, zero attempts, an empty host, a prefix that does not begin
/// with a slash, a timeout that isn't above 0, a route without a weight above
/// 0, or two routes with the same host and prefix.
void CheckRouteDocument(const RouteDocument& document, Findings& findings);

/// @return "safe", "unsafe" or "upload".
[[nodiscard]] const char* ToText(WorkKind kind);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ROUTES_ROUTE_DOCUMENT_H_
