#include "hemlockpoint/node/admin_service.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace hemlockpoint {

namespace {

constexpr unsigned kNotFound = 404;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kContentTooLarge = 413;
// Time in which the whole body must arrive.
constexpr Millis kBodyTimeout(10'000);

int HexValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_escape = text[i] == '%' && i + 2 < text.size() &&
                           HexValue(text[i + 1]) >= 0 &&
                           HexValue(text[i + 2]) >= 0;
    if (is_escape) {
      decoded +=
          static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

std::optional<std::string> ReadWholeBody(HttpExchange& exchange) {
  const Millis until = SteadyNow() + kBodyTimeout;
  std::string body;
  while (true) {
    const auto bytes = exchange.ReadBody(until);
    if (!bytes || body.size() + bytes->size() > AdminService::kMaxBodyBytes) {
      return std::nullopt;
    }
    if (bytes->empty()) {
      return body;
    }
    body += *bytes;
  }
}

}  // namespace

void AdminService::Add(const std::string& method_and_path, Handler handler) {
  m_handlers[method_and_path] = std::move(handler);
}

void AdminService::Serve(HttpExchange& exchange) const {
  const HttpRequestHead& head = exchange.head();
  AdminRequest request;
  request.m_method = head.m_method;
  const std::size_t query_mark = head.m_path.find('?');
  request.m_path = head.m_path.substr(0, query_mark);
  if (query_mark != std::string::npos) {
    request.m_query =
        ParseQuery(std::string_view(head.m_path).substr(query_mark + 1));
  }
  request.m_headers = head.m_headers;
  AdminResponse response;
  auto body = ReadWholeBody(exchange);
  const auto handler = m_handlers.find(request.m_method + " " + request.m_path);
  if (!body && exchange.body_error() == BodyError::kTimedOut) {
    response = MakeErrorResponse(kRequestTimeout, "body incomplete");
  } else if (!body) {
    response = MakeErrorResponse(
        kContentTooLarge,
        "body incomplete, or larger than " +
            std::to_string(AdminService::kMaxBodyBytes / 1024) + " KiB");
  } else if (handler == m_handlers.end() && m_fallback) {
    request.m_body = std::move(*body);
    response = m_fallback(request);
  } else if (handler == m_handlers.end()) {
    response =
        MakeErrorResponse(kNotFound, "no such operation: " + request.m_method +
                                         " " + request.m_path);
  } else {
    request.m_body = std::move(*body);
    response = handler->second(request);
  }
  HttpResponseHead response_head;
  response_head.m_status = response.m_status;
  response_head.m_headers = response.m_headers;
  response_head.m_headers.push_back({"Content-Type", response.m_content_type});
  exchange.Respond(response_head, response.m_body);
}

std::map<std::string, std::string> ParseQuery(std::string_view query) {
  std::map<std::string, std::string> values;
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string_view pair = query.substr(0, end);
    const std::size_t equals = pair.find('=');
    const std::string_view value = equals == std::string_view::npos
                                       ? std::string_view()
                                       : pair.substr(equals + 1);
    values[PercentDecode(pair.substr(0, equals))] = PercentDecode(value);
    query = end == std::string_view::npos ? std::string_view()
                                          : query.substr(end + 1);
  }
  return values;
}

AdminResponse MakeJsonResponse(const nlohmann::ordered_json& json,
                               unsigned status) {
  AdminResponse response;
  response.m_status = status;
  response.m_body =
      json.dump(-1, ' ', false,
                nlohmann::ordered_json::error_handler_t::replace) +
      "\n";
  return response;
}

AdminResponse MakeErrorResponse(unsigned status, const std::string& text) {
  return MakeJsonResponse({{"error", text}}, status);
}

}  // namespace hemlockpoint
