#ifndef HEMLOCKPOINT_DISPATCH_RESPONSE_SIZES_H_
#define HEMLOCKPOINT_DISPATCH_RESPONSE_SIZES_H_

#include <cstddef>
#include <string>
#include <unordered_map>

namespace hemlockpoint {

/// @brief Bytes of an answer on a route of which none has been seen: a short
/// one, as it goes between nodes.
inline constexpr double kDefaultResponseBytes = 512;

/// @brief Moving averages of the size of answers by route, since long answers
/// cost more to bring from another failure domain.
struct ResponseSizes {
  std::unordered_map<std::string, double> m_by_route;
};

/// @brief Takes in the body of an answer.
void RecordResponseSize(ResponseSizes& sizes,
                        const std::string& route,
                        std::size_t bytes);

/// @return Bytes to expect of an answer.
[[nodiscard]] double ExpectedResponseSize(const ResponseSizes& sizes,
                                          const std::string& route);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_RESPONSE_SIZES_H_
