#ifndef HEMLOCKPOINT_DISPATCH_RESPONSE_SIZES_H_
#define HEMLOCKPOINT_DISPATCH_RESPONSE_SIZES_H_

#include <cstddef>
#include <string>
#include <unordered_map>

namespace hemlockpoint {

/// @brief Response size assumed for a route without a recorded response, in
/// bytes: a short response with its overhead between nodes.
inline constexpr double kDefaultResponseBytes = 512;

/// @brief Exponential moving averages of response sizes by route. They feed
/// the choice of a target, since a long response costs more to transfer from
/// another failure domain.
struct ResponseSizes {
  std::unordered_map<std::string, double> m_by_route;
};

/// @brief Updates the average of a route. A route beyond kMaxTrackedRoutes is
/// not recorded.
/// @param bytes Size of the response body.
void RecordResponseSize(ResponseSizes& sizes,
                        const std::string& route,
                        std::size_t bytes);

/// @return The average size in bytes, or kDefaultResponseBytes for a route
/// without one.
[[nodiscard]] double ExpectedResponseSize(const ResponseSizes& sizes,
                                          const std::string& route);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_RESPONSE_SIZES_H_
