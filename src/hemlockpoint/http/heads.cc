#include "hemlockpoint/http/heads.h"

#include <algorithm>
#include <array>

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

bool IsHopByHop(std::string_view name) {
  return std::any_of(
      kUnforwardedFields.begin(), kUnforwardedFields.end(),
      [name](std::string_view known) { return IsSameFieldName(known, name); });
}

}  // namespace hemlockpoint
