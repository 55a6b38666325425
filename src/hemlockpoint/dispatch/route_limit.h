#ifndef HEMLOCKPOINT_DISPATCH_ROUTE_LIMIT_H_
#define HEMLOCKPOINT_DISPATCH_ROUTE_LIMIT_H_

#include <cstdint>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief How many calls of one route a target works on at the same time,
/// found from how they end. Work that calls further services fails when one
/// of those is overloaded, which the target's own slots don't show.
struct RouteLimit {
  double m_limit = 0;
  std::size_t m_running = 0;
  /// Ends since the limit was changed last.
  double m_ends = 0;
  double m_failures = 0;
  Millis m_changed;
};

/// @brief Calls of a route that may always run, so that the end of an
/// overload is noticed.
inline constexpr double kLeastRouteLimit = 2;

/// @brief Share of failures that is taken for the work's own, by importance:
/// less important work gives way first.
/// @param rank 0 is the most important.
[[nodiscard]] double ToleratedFailures(std::uint64_t rank);

/// @brief Takes in how a call has ended, and raises the limit by addition or
/// lowers it by a factor.
/// @param slots The target's slots, which no limit exceeds.
void RecordRouteEnd(RouteLimit& limit,
                    std::uint64_t rank,
                    bool failed,
                    double slots,
                    Millis now);

/// @return Whether another call of the route may run.
[[nodiscard]] bool HasRouteRoom(const RouteLimit& limit, double slots);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_ROUTE_LIMIT_H_
