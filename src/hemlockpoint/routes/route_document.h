#ifndef HEMLOCKPOINT_ROUTES_ROUTE_DOCUMENT_H_
#define HEMLOCKPOINT_ROUTES_ROUTE_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hemlockpoint/base/findings.h"
#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Version of a route document, chosen by its writer.
using DocumentVersion = NumberId<struct DocumentVersionTag>;
using RouteName = StringId<struct RouteNameTag>;

/// @brief What may be repeated of the work behind a route.
enum class WorkKind : unsigned char {
  /// Idempotent.
  kSafe,
  /// At most once for each request.
  kUnsafe,
  /// At most once for each request, with a long body.
  kUpload,
};

inline constexpr std::uint64_t kWorkKindCount = 3;

/// @brief One of the services that share a route's requests.
struct WeightedService {
  ServiceName m_service;
  std::uint64_t m_weight = 1;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("s", self.m_service);
    visit("w", self.m_weight);
  }
};

/// @brief Where requests of a host and path go, and on which terms.
struct Route {
  RouteName m_name;
  std::string m_host;
  std::string m_path_prefix;
  WorkKind m_kind = WorkKind::kUnsafe;
  /// Longest time until the final answer.
  Millis m_timeout;
  /// Latency objective; 0 for none.
  Millis m_objective;
  /// 0 is the most important.
  std::uint64_t m_rank = 0;
  /// Targets that one request is sent to at most.
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

/// @brief What a document says of a service.
struct RouteService {
  ServiceName m_name;
  /// Path of the targets' own health check; empty when there is none.
  std::string m_health_path;
  /// Connections that one target accepts from all callers together.
  std::uint64_t m_max_connections = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("n", self.m_name);
    visit("h", self.m_health_path);
    visit("c", self.m_max_connections);
  }
};

/// @brief Bounds of what callers send; they apply to every listener for
/// requests. 0 leaves the process's own bound in place.
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

/// @brief The whole route document.
struct RouteDocument {
  DocumentVersion m_version;
  std::vector<Route> m_routes;
  std::vector<RouteService> m_services;
  CallerBounds m_bounds;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("v", self.m_version);
    visit("r", self.m_routes);
    visit("s", self.m_services);
    visit("b", self.m_bounds);
  }
};

/// @brief Adds a finding for each fault that keeps a document from being
/// accepted: an unknown service, no attempts, no host, a prefix that doesn't
/// begin with a slash, no timeout, no weight, two routes for one place.
void CheckRouteDocument(const RouteDocument& document, Findings& findings);

/// @return "safe", "unsafe" or "upload".
[[nodiscard]] const char* ToText(WorkKind kind);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ROUTES_ROUTE_DOCUMENT_H_
