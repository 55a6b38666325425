#ifndef HEMLOCKPOINT_HTTP_BEAST_FIELDS_H_
#define HEMLOCKPOINT_HTTP_BEAST_FIELDS_H_

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <string>

#include "hemlockpoint/http/heads.h"

namespace hemlockpoint::internal {

/// @return The header fields to forward, in their order: all but the hop-by-hop
/// ones and those that the Connection field names.
template <typename Message>
[[nodiscard]] HeaderFields CopyEndToEndFields(const Message& message) {
  HeaderFields fields;
  boost::beast::http::token_list connection_options(
      message[boost::beast::http::field::connection]);
  for (const auto& field : message) {
    const auto name = field.name_string();
    const std::string_view view(name.data(), name.size());
    if (!IsHopByHop(view) && !connection_options.exists(name)) {
      fields.push_back({std::string(view), std::string(field.value())});
    }
  }
  return fields;
}

/// @brief Sets the header fields and the framing of a message whose body
/// follows. Without a content length the body is chunked.
template <typename Message>
void SetFields(Message& message,
               const HeaderFields& headers,
               std::optional<std::uint64_t> content_length) {
  for (const HeaderField& field : headers) {
    if (!IsHopByHop(field.m_name)) {
      message.insert(field.m_name, field.m_value);
    }
  }
  if (content_length) {
    message.content_length(*content_length);
  } else {
    message.chunked(true);
  }
}

}  // namespace hemlockpoint::internal

#endif  // HEMLOCKPOINT_HTTP_BEAST_FIELDS_H_
