#include "hemlockpoint/documents/document_delta.h"

#include <map>
#include <set>

#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

namespace {

// A document may contain several routes of one name, so routes are compared by
// their full encoding.
using EncodedRoute = std::string;

std::multiset<EncodedRoute> EncodeRoutes(const RouteDocument& document) {
  std::multiset<EncodedRoute> routes;
  for (const Route& route : document.m_routes) {
    routes.insert(EncodeFields(route));
  }
  return routes;
}

bool HasUniqueNames(const RouteDocument& document) {
  std::set<RouteName> names;
  for (const Route& route : document.m_routes) {
    if (!names.insert(route.m_name).second) {
      return false;
    }
  }
  return true;
}

DocumentPush MakeFullPush(const RouteDocument& document) {
  DocumentPush push;
  push.m_version = document.m_version;
  push.m_changed = document.m_routes;
  push.m_services = document.m_services;
  push.m_bounds = document.m_bounds;
  return push;
}

}  // namespace

DocumentPush MakeDocumentPush(const RouteDocument* older,
                              const RouteDocument& newer) {
  if (older == nullptr || !HasUniqueNames(*older) || !HasUniqueNames(newer)) {
    return MakeFullPush(newer);
  }
  DocumentPush push;
  push.m_version = newer.m_version;
  push.m_since = older->m_version;
  push.m_services = newer.m_services;
  push.m_bounds = newer.m_bounds;
  const std::multiset<EncodedRoute> known = EncodeRoutes(*older);
  std::set<RouteName> names;
  for (const Route& route : newer.m_routes) {
    names.insert(route.m_name);
    if (known.count(EncodeFields(route)) == 0) {
      push.m_changed.push_back(route);
    }
  }
  for (const Route& route : older->m_routes) {
    if (names.count(route.m_name) == 0) {
      push.m_removed.push_back(route.m_name);
    }
  }
  return push;
}

std::optional<RouteDocument> ApplyDocumentPush(const RouteDocument* current,
                                               const DocumentPush& push) {
  const bool is_full = push.m_since == DocumentVersion();
  if (current != nullptr && !(current->m_version < push.m_version)) {
    return std::nullopt;
  }
  const bool has_matching_base =
      current != nullptr && current->m_version == push.m_since;
  if (!is_full && !has_matching_base) {
    return std::nullopt;
  }
  RouteDocument document;
  document.m_version = push.m_version;
  document.m_services = push.m_services;
  document.m_bounds = push.m_bounds;
  if (is_full) {
    document.m_routes = push.m_changed;
    return document;
  }
  std::map<RouteName, const Route*> changed;
  for (const Route& route : push.m_changed) {
    changed[route.m_name] = &route;
  }
  const std::set<RouteName> removed(push.m_removed.begin(),
                                    push.m_removed.end());
  for (const Route& route : current->m_routes) {
    const auto update = changed.find(route.m_name);
    if (update != changed.end()) {
      document.m_routes.push_back(*update->second);
      changed.erase(update);
    } else if (removed.count(route.m_name) == 0) {
      document.m_routes.push_back(route);
    }
  }
  for (const Route& route : push.m_changed) {
    if (changed.count(route.m_name) != 0) {
      document.m_routes.push_back(route);
    }
  }
  return document;
}

}  // namespace hemlockpoint
