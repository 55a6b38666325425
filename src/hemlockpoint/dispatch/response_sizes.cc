#include "hemlockpoint/dispatch/response_sizes.h"

#include "hemlockpoint/dispatch/service_times.h"

namespace hemlockpoint {

void RecordResponseSize(ResponseSizes& sizes,
                        const std::string& route,
                        std::size_t bytes) {
  const bool is_known = sizes.m_by_route.count(route) != 0;
  if (!is_known && sizes.m_by_route.size() >= kMaxTrackedRoutes) {
    return;
  }
  double& average = sizes.m_by_route[route];
  const auto size = static_cast<double>(bytes);
  average = is_known ? average + (size - average) * kRouteAverageGain : size;
}

double ExpectedResponseSize(const ResponseSizes& sizes,
                            const std::string& route) {
  const auto found = sizes.m_by_route.find(route);
  return found == sizes.m_by_route.end() ? kDefaultResponseBytes
                                         : found->second;
}

}  // namespace hemlockpoint
