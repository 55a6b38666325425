#include "hemlockpoint/routes/route_document.h"

#include <set>
#include <string>
#include <utility>

namespace hemlockpoint {

namespace {

void CheckRoute(const Route& route,
                const std::set<ServiceName>& known,
                const Place& place,
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
  std::uint64_t weights = 0;
  for (const WeightedService& part : route.m_services) {
    weights += part.m_weight;
  }
  if (weights == 0) {
    findings.Add(place, "no service has a weight above 0");
  }
  for (const WeightedService& part : route.m_services) {
    if (known.count(part.m_service) == 0) {
      findings.Add(place, "unknown service " + part.m_service.value());
    }
  }
}

}  // namespace

void CheckRouteDocument(const RouteDocument& document, Findings& findings) {
  std::set<ServiceName> known;
  for (const RouteService& service : document.m_services) {
    known.insert(service.m_name);
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : document.m_routes) {
    const Place place{"route " + route.m_name.value(), 0, 0};
    CheckRoute(route, known, place, findings);
    if (!places.emplace(route.m_host, route.m_path_prefix).second) {
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
