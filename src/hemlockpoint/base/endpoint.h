#ifndef HEMLOCKPOINT_BASE_ENDPOINT_H_
#define HEMLOCKPOINT_BASE_ENDPOINT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "hemlockpoint/base/result.h"

namespace hemlockpoint {

/// @brief A numeric IPv4 or IPv6 address and a TCP port.
struct Endpoint {
  std::string m_address;
  std::uint16_t m_port = 0;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.m_port == b.m_port && a.m_address == b.m_address;
  }
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return a.m_address != b.m_address ? a.m_address < b.m_address
                                      : a.m_port < b.m_port;
  }
};

/// @brief Parses "127.0.0.1:8080" or "[::1]:8080".
/// @return The endpoint, or the reason why the text is invalid.
[[nodiscard]] Result<Endpoint> ParseEndpoint(std::string_view text);

/// @return The endpoint in the format that ParseEndpoint() accepts.
[[nodiscard]] std::string ToText(const Endpoint& endpoint);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_BASE_ENDPOINT_H_
