#include "hemlockpoint/entry/caller_request.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace hemlockpoint {

namespace {

using RequestResult = Result<CallerRequest>;

bool IsNameByte(unsigned char c) {
  return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
}

bool IsValidName(std::string_view text, std::size_t max_bytes) {
  return !text.empty() && text.size() <= max_bytes &&
         std::all_of(text.begin(), text.end(), IsNameByte);
}

bool IsVisibleAscii(std::string_view text, std::size_t max_bytes) {
  return !text.empty() && text.size() <= max_bytes &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

// Returns the value of Hemlock-Service, or the first label of the host name.
std::string_view ServiceOf(const HeaderFields& headers) {
  if (const auto service = FindHeader(headers, field::kService)) {
    return *service;
  }
  const std::string_view host = FindHeader(headers, "Host").value_or("");
  return host.substr(0, host.find_first_of(".:"));
}

std::optional<Millis> ParseDeadline(std::string_view text) {
  double value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  const bool is_valid = parsed.ec == std::errc() && parsed.ptr == end &&
                        std::isfinite(value) && value > 0;
  return is_valid ? std::optional<Millis>(Millis(value)) : std::nullopt;
}

std::string_view BearerToken(std::string_view authorization) {
  constexpr std::string_view kScheme = "Bearer ";
  const bool is_bearer =
      authorization.size() > kScheme.size() &&
      IsSameFieldName(authorization.substr(0, kScheme.size()), kScheme);
  return is_bearer ? authorization.substr(kScheme.size()) : std::string_view();
}

bool IsHemlockField(std::string_view name) {
  const std::string_view prefix = field::kPrefix;
  return name.size() >= prefix.size() &&
         IsSameFieldName(name.substr(0, prefix.size()), prefix);
}

}  // namespace

RequestResult ParseCallerRequest(const HttpRequestHead& head) {
  CallerRequest request;
  const HeaderFields& headers = head.m_headers;
  const std::string_view service = ServiceOf(headers);
  if (!IsValidName(service, kMaxServiceBytes)) {
    return RequestResult::Failure(
        "no service named in Hemlock-Service or Host");
  }
  if (head.m_path.empty() || head.m_path.front() != '/' ||
      !IsVisibleAscii(head.m_path, kMaxPathBytes)) {
    return RequestResult::Failure(
        "path must start with '/' and be at most "
        "8 KiB of visible ASCII");
  }
  request.m_service = ServiceName(std::string(service));
  request.m_method = head.m_method;
  request.m_path = head.m_path;
  request.m_content_length = head.m_content_length;
  request.m_caller = FindHeader(headers, field::kCaller).value_or("");
  request.m_parent = FindHeader(headers, field::kCallId).value_or("");
  request.m_token =
      BearerToken(FindHeader(headers, field::kAuthorization).value_or(""));
  if (!request.m_caller.empty() &&
      !IsValidName(request.m_caller, kMaxKeyBytes)) {
    return RequestResult::Failure("Hemlock-Caller is not a name");
  }
  if (const auto deadline = FindHeader(headers, field::kDeadline)) {
    request.m_time_left = ParseDeadline(*deadline);
    if (!request.m_time_left) {
      return RequestResult::Failure(
          "Hemlock-Deadline-Ms is not a positive number of milliseconds");
    }
  }
  if (const auto key = FindHeader(headers, field::kIdempotencyKey)) {
    request.m_key = *key;
    if (!IsVisibleAscii(request.m_key, kMaxKeyBytes)) {
      return RequestResult::Failure(
          "Idempotency-Key must be 1 to 128 bytes of visible ASCII");
    }
  }
  for (const HeaderField& header : headers) {
    if (!IsHemlockField(header.m_name)) {
      request.m_headers.push_back(header);
    }
  }
  return request;
}

std::string_view PathOnly(std::string_view path) {
  return path.substr(0, path.find('?'));
}

KindName KindOf(const ServiceName& service,
                std::string_view method,
                std::string_view path) {
  const std::string_view plain_path = PathOnly(path);
  const std::size_t segment_end = plain_path.find('/', 1);
  std::string kind = service.value() + " ";
  kind += method;
  kind += ' ';
  kind += plain_path.substr(0, segment_end);
  return KindName(std::move(kind));
}

}  // namespace hemlockpoint
