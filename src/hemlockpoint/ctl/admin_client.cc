#include "hemlockpoint/ctl/admin_client.h"

#include <boost/asio/steady_timer.hpp>
#include <cctype>
#include <memory>

#include "hemlockpoint/http/client.h"

namespace hemlockpoint {

namespace {

constexpr Millis kConnectTimeout(2000);
constexpr Millis kResponseTimeout(10'000);

Result<AdminClientResponse> SendAndReceive(HttpClientCall& http,
                                           const HttpRequestHead& head,
                                           const std::string& body) {
  using ResponseResult = Result<AdminClientResponse>;
  if (!http.SendHead(head, body, true)) {
    return ResponseResult::Failure("the request was not sent");
  }
  const auto response_head = http.ReadHead();
  if (!response_head) {
    return ResponseResult::Failure("no answer");
  }
  AdminClientResponse response;
  response.m_status = response_head->m_status;
  while (true) {
    const auto bytes = http.ReadBody();
    if (!bytes) {
      return ResponseResult::Failure("the answer was cut off");
    }
    if (bytes->empty()) {
      return response;
    }
    response.m_body += *bytes;
  }
}

}  // namespace

Result<AdminClientResponse> AdminClient::Request(
    const Endpoint& node,
    const std::string& method,
    const std::string& path,
    const HeaderFields& headers,
    const std::string& body) const {
  using ResponseResult = Result<AdminClientResponse>;
  HttpClientPool pool(m_loop.io(), node, 1);
  auto call = pool.Open(kConnectTimeout);
  if (!call) {
    return ResponseResult::Failure(ToText(node) + ": " + call.reason());
  }
  HttpClientCall& http = **call;
  HttpRequestHead head;
  head.m_method = method;
  head.m_path = path;
  head.m_headers = headers;
  head.m_headers.push_back({"Host", ToText(node)});
  // Limits the wait for a node that has stopped responding.
  boost::asio::steady_timer timer(m_loop.io(), ToChrono(kResponseTimeout));
  auto active_call = std::make_shared<HttpClientCall*>(&http);
  timer.async_wait([active_call](const boost::system::error_code& error) {
    if (!error && *active_call != nullptr) {
      (*active_call)->Cancel();
    }
  });
  auto response = SendAndReceive(http, head, body);
  *active_call = nullptr;
  if (!response) {
    return ResponseResult::Failure(ToText(node) + ": " + response.reason());
  }
  return response;
}

Result<AdminClientResponse> AdminClient::Get(const Endpoint& node,
                                             const std::string& path) const {
  return Request(node, "GET", path, {}, "");
}

std::string PercentEncode(const std::string& text) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_' ||
        c == '~') {
      encoded += c;
    } else {
      encoded += '%';
      encoded += kHex[byte >> 4];
      encoded += kHex[byte & 0xf];
    }
  }
  return encoded;
}

}  // namespace hemlockpoint
