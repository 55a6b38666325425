#include "hemlockpoint/http/heads.h"

#include <algorithm>
#include <array>

namespace hemlockpoint {

namespace {

constexpr std::array<std::string_view, 9> kHopByHop = {
    "connection", "content-length",   "expect",
    "keep-alive", "proxy-connection", "te",
    "trailer",    "upgrade",          "transfer-encoding"};

char Lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

}  // namespace

bool SameFieldName(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return Lower(x) == Lower(y); });
}

std::optional<std::string_view> FindHeader(const HeaderFields& headers,
                                           std::string_view name) {
  for (const HeaderField& field : headers) {
    if (SameFieldName(field.m_name, name)) {
      return field.m_value;
    }
  }
  return std::nullopt;
}

bool IsHopByHop(std::string_view name) {
  return std::any_of(
      kHopByHop.begin(), kHopByHop.end(),
      [name](std::string_view known) { return SameFieldName(known, name); });
}

}  // namespace hemlockpoint
