#include "hemlockpoint/http/heads.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace hemlockpoint {

namespace {

constexpr std::array<std::string_view, 9> kUnforwardedFields = {
    "connection", "content-length",   "expect",
    "keep-alive", "proxy-connection", "te",
    "trailer",    "upgrade",          "transfer-encoding"};

char ToLowerAscii(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool IsSameFieldName(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return ToLowerAscii(x) == ToLowerAscii(y);
         });
}

std::optional<std::string_view> FindHeader(const HeaderFields& headers,
                                           std::string_view name) {
  for (const HeaderField& field : headers) {
    if (IsSameFieldName(field.m_name, name)) {
      return field.m_value;
    }
  }
  return std::nullopt;
}

std::optional<std::uint64_t> ContentLengthOf(const HeaderFields& headers) {
  const auto text = FindHeader(headers, "Content-Length");
  if (!text) {
    return std::nullopt;
  }
  std::uint64_t length = 0;
  const char* end = text->data() + text->size();
  const auto [parsed_end, error] = std::from_chars(text->data(), end, length);
  if (error != std::errc() || parsed_end != end) {
    return std::nullopt;
  }
  return length;
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(
      kUnforwardedFields.begin(), kUnforwardedFields.end(),
      [name](std::string_view known) { return IsSameFieldName(known, name); });
}

}  // namespace hemlockpoint
