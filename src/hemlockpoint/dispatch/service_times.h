#ifndef HEMLOCKPOINT_DISPATCH_SERVICE_TIMES_H_
#define HEMLOCKPOINT_DISPATCH_SERVICE_TIMES_H_

#include <string>
#include <unordered_map>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Weight of a new sample in the exponential moving averages that are
/// kept by route. An average follows a change within about 20 calls.
inline constexpr double kRouteAverageGain = 0.05;
/// @brief Maximum number of routes with averages of their own.
inline constexpr std::size_t kMaxTrackedRoutes = 1024;

/// @brief Exponential moving averages of how long calls hold a slot.
struct ServiceTimes {
  std::unordered_map<std::string, Millis> m_by_route;
  /// Over the calls of all routes; 0 before the first sample.
  Millis m_mean;
};

/// @brief Updates the mean, and the average of the route unless the route is
/// beyond kMaxTrackedRoutes.
void RecordServiceTime(ServiceTimes& times,
                       const std::string& route,
                       Millis duration);

/// @return The average of the route, or the mean over all routes if the route
/// has none; 0 before the first sample.
[[nodiscard]] Millis ExpectedServiceTime(const ServiceTimes& times,
                                         const std::string& route);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_SERVICE_TIMES_H_
