#ifndef HEMLOCKPOINT_HTTP_HEADS_H_
#define HEMLOCKPOINT_HTTP_HEADS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hemlockpoint/wire/call_messages.h"

namespace hemlockpoint {

/// @brief Head of an HTTP request.
struct HttpRequestHead {
  std::string m_method;
  /// Path and query.
  std::string m_path;
  HeaderFields m_headers;
  /// Length of the body in bytes; nullopt if unknown.
  std::optional<std::uint64_t> m_content_length;
};

/// @brief Head of an HTTP response.
struct HttpResponseHead {
  unsigned m_status = 0;
  HeaderFields m_headers;
  /// Length of the body in bytes; nullopt if unknown.
  std::optional<std::uint64_t> m_content_length;
};

/// @brief Finds a header field by its name, which is case-insensitive.
/// @return The value of the first such field, or nullopt.
[[nodiscard]] std::optional<std::string_view> FindHeader(
    const HeaderFields& headers,
    std::string_view name);

/// @return The length that a Content-Length field states, or nullopt if there
/// is none or its value is not a number.
[[nodiscard]] std::optional<std::uint64_t> ContentLengthOf(
    const HeaderFields& headers);

/// @return Whether a field concerns a single connection (RFC 9110, section
/// 7.6.1) or the message framing, and must not be forwarded.
[[nodiscard]] bool IsHopByHop(std::string_view name);

/// @return Whether two field names are equal, ignoring case.
[[nodiscard]] bool IsSameFieldName(std::string_view a, std::string_view b);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_HTTP_HEADS_H_
