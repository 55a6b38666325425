#include "hemlockpoint/dispatch/service_times.h"

namespace hemlockpoint {

namespace {

Millis UpdatedAverage(Millis old, Millis sample) {
  return old == Millis(0) ? sample : old + (sample - old) * kRouteAverageGain;
}

}  // namespace

void RecordServiceTime(ServiceTimes& times,
                       const std::string& route,
                       Millis duration) {
  times.m_mean = UpdatedAverage(times.m_mean, duration);
  const bool is_known = times.m_by_route.count(route) != 0;
  if (is_known || times.m_by_route.size() < kMaxTrackedRoutes) {
    Millis& average = times.m_by_route[route];
    average = UpdatedAverage(average, duration);
  }
}

Millis ExpectedServiceTime(const ServiceTimes& times,
                           const std::string& route) {
  const auto found = times.m_by_route.find(route);
  return found == times.m_by_route.end() ? times.m_mean : found->second;
}

}  // namespace hemlockpoint
