#ifndef HEMLOCKPOINT_DISPATCH_SERVICE_TIMES_H_
#define HEMLOCKPOINT_DISPATCH_SERVICE_TIMES_H_

#include <string>
#include <unordered_map>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Weight of one observation in a moving average of service times: the
/// average follows a change within some twenty calls.
inline constexpr double kRouteAverageGain = 0.05;
/// @brief Routes whose times are kept; a route beyond them has the mean.
inline constexpr std::size_t kMaxTrackedRoutes = 1024;

/// @brief Moving averages of how long calls hold a slot, by route and over
/// all of them.
struct ServiceTimes {
  std::unordered_map<std::string, Millis> m_by_route;
  Millis m_mean;
};

void RecordServiceTime(ServiceTimes& times,
                       const std::string& route,
                       Millis duration);

/// @return The average of a route, of all routes when it has none, or 0.
[[nodiscard]] Millis ExpectedServiceTime(const ServiceTimes& times,
                                         const std::string& route);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_SERVICE_TIMES_H_
