#include "hemlockpoint/routes/route_document.h"

#include <set>
#include <string>
#include <utility>

namespace hemlockpoint {

namespace {

void CheckRoute(const Route& route,
                const std::set<ServiceName>& known_services,
                const SourceLocation& place,
                Findings& findings) {
  if (route.m_host.empty()) {
    findings.Add(place, "the host is empty");
  }
  if (route.m_path_prefix.empty() || route.m_path_prefix.front() != '/') {
    findings.Add(place, "the path prefix doesn't begin with a slash");
  }
  if (route.m_max_attempts == 0) {
    findings.Add(place, "at least one attempt is needed");
  }
  if (route.m_timeout <= Millis(0)) {
    findings.Add(place, "the timeout isn't above 0");
  }
  std::uint64_t total_weight = 0;
  for (const WeightedService& weighted : route.m_services) {
    total_weight += weighted.m_weight;
  }
  if (total_weight == 0) {
    findings.Add(place, "no service has a weight above 0");
  }
  for (const WeightedService& weighted : route.m_services) {
    if (known_services.count(weighted.m_service) == 0) {
      findings.Add(place, "unknown service " + weighted.m_service.value());
    }
  }
}

}  // namespace

void CheckRouteDocument(const RouteDocument& document, Findings& findings) {
  std::set<ServiceName> known_services;
  for (const ServiceConfig& service : document.m_services) {
    known_services.insert(service.m_name);
  }
  std::set<std::pair<std::string, std::string>> seen_prefixes;
  for (const Route& route : document.m_routes) {
    const SourceLocation place{"route " + route.m_name.value(), 0, 0};
    CheckRoute(route, known_services, place, findings);
    if (!seen_prefixes.emplace(route.m_host, route.m_path_prefix).second) {
      findings.Add(place, "another route has the same host and prefix");
    }
  }
}

const char* ToText(WorkKind kind) {
  switch (kind) {
    case WorkKind::kSafe:
      return "safe";
    case WorkKind::kUnsafe:
      return "unsafe";
    case WorkKind::kUpload:
      break;
  }
  return "upload";
}

}  // namespace hemlockpoint
