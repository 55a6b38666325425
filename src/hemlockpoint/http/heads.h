#ifndef HEMLOCKPOINT_HTTP_HEADS_H_
#define HEMLOCKPOINT_HTTP_HEADS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "hemlockpoint/wire/call_messages.h"

namespace hemlockpoint {

/// @brief Start of an HTTP request.
struct HttpRequestHead {
  std::string m_method;
  std::string m_path;
  HeaderFields m_headers;
  std::optional<std::uint64_t> m_content_length;
};

/// @brief Start of an HTTP response.
struct HttpResponseHead {
  unsigned m_status = 0;
  HeaderFields m_headers;
  std::optional<std::uint64_t> m_content_length;
};

/// @brief Finds a field by name, without regard to case.
/// @return The first such field's value, or nothing.
[[nodiscard]] std::optional<std::string_view> FindHeader(
    const HeaderFields& headers,
    std::string_view name);

/// @return Whether a field concerns one connection only (RFC 9110, 7.6.1) or
/// the framing, and is not passed on.
[[nodiscard]] bool IsHopByHop(std::string_view name);

/// @return Whether two field names are the same, without regard to case.
[[nodiscard]] bool IsSameFieldName(std::string_view a, std::string_view b);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_HTTP_HEADS_H_
