#ifndef HEMLOCKPOINT_HTTP_MESSAGE_PARSER_H_
#define HEMLOCKPOINT_HTTP_MESSAGE_PARSER_H_

#include <boost/beast/http.hpp>
#include <cstddef>

namespace hemlockpoint::internal {

/// @brief Bytes that are read ahead on a connection; more for requests whose
/// limit for the head is higher. Also ends messages with an endless chunk
/// header or trailer, to which the parser applies no limit.
inline constexpr std::size_t kReadBufferBytes = std::size_t{64} * 1024;

/// @brief Maximum size of the name or the value of a field. Beast stores sizes
/// in 16 bits and throws if they don't fit.
inline constexpr std::size_t kMaxFieldBytes = 65'000;

/// @brief Parser of requests or responses that reports a field over
/// kMaxFieldBytes as header_limit.
template <bool is_request>
class MessageParser
    : public boost::beast::http::parser<is_request,
                                        boost::beast::http::buffer_body> {
 private:
  // Also called for trailer fields.
  void on_field_impl(boost::beast::http::field name,
                     boost::beast::string_view name_string,
                     boost::beast::string_view value,
                     boost::beast::error_code& error) override {
    if (name_string.size() > kMaxFieldBytes || value.size() > kMaxFieldBytes) {
      error = boost::beast::http::error::header_limit;
      return;
    }
    this->get().insert(name, name_string, value);
  }
};

}  // namespace hemlockpoint::internal

#endif  // HEMLOCKPOINT_HTTP_MESSAGE_PARSER_H_
