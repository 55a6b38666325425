#ifndef HEMLOCKPOINT_ROUTES_ROUTE_TABLE_H_
#define HEMLOCKPOINT_ROUTES_ROUTE_TABLE_H_

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "hemlockpoint/routes/route_document.h"

namespace hemlockpoint {

/// @brief A document with its routes indexed by host and prefix. Calls in
/// progress keep the table with which they began.
struct RouteTable {
  RouteDocument m_document;
  /// Host, then prefix, to the index of the route; the first of two equal
  /// routes counts.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>>
      m_by_host;
};

[[nodiscard]] std::shared_ptr<const RouteTable> MakeRouteTable(
    RouteDocument document);

/// @param host As the caller sent it, with or without a port.
/// @param target Path, with or without a query.
/// @return The route of the host whose prefix is the longest that begins the
/// path, or null.
[[nodiscard]] const Route* FindRoute(const RouteTable& table,
                                     std::string_view host,
                                     std::string_view target);

/// @brief Distributes requests among a route's services by their weights.
/// @param fraction In [0, 1), uniform over requests.
/// @return The service; the first one when all weights are 0.
[[nodiscard]] const ServiceName& ChooseService(const Route& route,
                                               double fraction);

/// @return What the document says of a service, or null.
[[nodiscard]] const RouteService* FindService(const RouteDocument& document,
                                              const ServiceName& name);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ROUTES_ROUTE_TABLE_H_
