#ifndef HEMLOCKPOINT_ROUTES_ROUTE_TABLE_H_
#define HEMLOCKPOINT_ROUTES_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "hemlockpoint/routes/route_document.h"

namespace hemlockpoint {

/// @brief A route document with its routes indexed by host and path prefix.
/// Immutable and shared: a call uses the same table from start to end.
struct RouteTable {
  RouteDocument m_document;
  /// Index of the route by host and then by prefix. If two routes have the same
  /// host and prefix, the first one is used.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>>
      m_by_host;
};

[[nodiscard]] std::shared_ptr<const RouteTable> MakeRouteTable(
    RouteDocument document);

/// @brief Finds the route of the host with the longest prefix of the path.
/// @param host Host name as the caller sent it, with or without a port.
/// @param path_and_query Path, with or without a query.
/// @return The route, or null if none matches.
[[nodiscard]] const Route* FindRoute(const RouteTable& table,
                                     std::string_view host,
                                     std::string_view path_and_query);

/// @brief Chooses one of the route's services in proportion to their weights.
/// @param fraction In [0, 1), uniform over requests.
/// @return The chosen service; the first one if all weights are 0.
[[nodiscard]] const ServiceName& ChooseService(const Route& route,
                                               double fraction);

/// @return The configuration of a service, or null.
[[nodiscard]] const ServiceConfig* FindService(const RouteDocument& document,
                                               const ServiceName& name);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ROUTES_ROUTE_TABLE_H_
