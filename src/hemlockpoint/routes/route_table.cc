#include "hemlockpoint/routes/route_table.h"

#include <algorithm>
#include <utility>

namespace hemlockpoint {

namespace {

std::string NormalizeHost(std::string_view host) {
  const std::size_t colon = host.rfind(':');
  const bool has_port =
      colon != std::string_view::npos &&
      host.find_first_not_of("0123456789", colon + 1) == std::string_view::npos;
  std::string normalized(has_port ? host.substr(0, colon) : host);
  std::transform(
      normalized.begin(), normalized.end(), normalized.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
      });
  return normalized;
}

}  // namespace

std::shared_ptr<const RouteTable> MakeRouteTable(RouteDocument document) {
  auto table = std::make_shared<RouteTable>();
  table->m_document = std::move(document);
  const auto& routes = table->m_document.m_routes;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    table->m_by_host[NormalizeHost(routes[i].m_host)].emplace(
        routes[i].m_path_prefix, i);
  }
  return table;
}

const Route* FindRoute(const RouteTable& table,
                       std::string_view host,
                       std::string_view path_and_query) {
  const auto prefixes = table.m_by_host.find(NormalizeHost(host));
  if (prefixes == table.m_by_host.end()) {
    return nullptr;
  }
  std::string path(path_and_query.substr(0, path_and_query.find('?')));
  // Compares the whole path, then each part of it that ends with a slash, the
  // longest first. Route prefixes end with a slash, so nothing else can match.
  while (!path.empty()) {
    const auto found = prefixes->second.find(path);
    if (found != prefixes->second.end()) {
      return &table.m_document.m_routes[found->second];
    }
    path.pop_back();
    path.resize(path.rfind('/') == std::string::npos ? 0 : path.rfind('/') + 1);
  }
  return nullptr;
}

const ServiceName& ChooseService(const Route& route, double fraction) {
  double total = 0;
  for (const WeightedService& weighted : route.m_services) {
    total += static_cast<double>(weighted.m_weight);
  }
  double remaining = fraction * total;
  for (const WeightedService& weighted : route.m_services) {
    const double weight = static_cast<double>(weighted.m_weight);
    if (weight > 0 && remaining < weight) {
      return weighted.m_service;
    }
    remaining -= weight;
  }
  return route.m_services.front().m_service;
}

const ServiceConfig* FindService(const RouteDocument& document,
                                 const ServiceName& name) {
  const auto found = std::find_if(
      document.m_services.begin(), document.m_services.end(),
      [&](const ServiceConfig& service) { return service.m_name == name; });
  return found == document.m_services.end() ? nullptr : &*found;
}

}  // namespace hemlockpoint
