#include "hemlockpoint/base/endpoint.h"

#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace hemlockpoint {

namespace {

// Length of a part of the text that is quoted in an error message.
constexpr std::size_t kMaxQuotedBytes = 64;

}  // namespace

Result<Endpoint> ParseEndpoint(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return Result<Endpoint>::Failure("expected ADDRESS:PORT");
  }
  std::string_view host = text.substr(0, colon);
  if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(host), error);
  if (error) {
    return Result<Endpoint>::Failure(
        "not a numeric IP address: " +
        std::string(host.substr(0, kMaxQuotedBytes)));
  }
  const std::string_view digits = text.substr(colon + 1);
  Endpoint endpoint;
  endpoint.m_address = address.to_string();
  const char* digits_end = digits.data() + digits.size();
  const auto parsed =
      std::from_chars(digits.data(), digits_end, endpoint.m_port);
  if (parsed.ec != std::errc() || parsed.ptr != digits_end ||
      endpoint.m_port == 0) {
    return Result<Endpoint>::Failure(
        "not a TCP port: " + std::string(digits.substr(0, kMaxQuotedBytes)));
  }
  return endpoint;
}

std::string ToText(const Endpoint& endpoint) {
  const bool is_ipv6 = endpoint.m_address.find(':') != std::string::npos;
  const std::string host =
      is_ipv6 ? "[" + endpoint.m_address + "]" : endpoint.m_address;
  return host + ":" + std::to_string(endpoint.m_port);
}

}  // namespace hemlockpoint
