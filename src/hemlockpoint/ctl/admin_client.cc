#include "hemlockpoint/ctl/admin_client.h"

#include <boost/asio/steady_timer.hpp>
#include <cctype>
#include <memory>

#include "hemlockpoint/http/client.h"

namespace hemlockpoint {

namespace {

constexpr Millis kConnectTimeout(2000);
constexpr Millis kResponseTimeout(10'000);

Result<AdminClientResponse> Exchange(HttpClientCall& http,
                                     const HttpRequestHead& head,
                                     const std::string& body) {
  using Failure = Result<AdminClientResponse>;
  if (!http.SendHead(head, body, true)) {
    return Failure::Failure("the request was not sent");
  }
  const auto answer = http.ReadHead();
  if (!answer) {
    return Failure::Failure("no answer");
  }
  AdminClientResponse reply;
  reply.m_status = answer->m_status;
  while (true) {
    const auto bytes = http.ReadBody();
    if (!bytes) {
      return Failure::Failure("the answer was cut off");
    }
    if (bytes->empty()) {
      return reply;
    }
    reply.m_body += *bytes;
  }
}

}  // namespace

Result<AdminClientResponse> AdminClient::Request(
    const Endpoint& node,
    const std::string& method,
    const std::string& path,
    const HeaderFields& headers,
    const std::string& body) const {
  using Failure = Result<AdminClientResponse>;
  HttpClientPool pool(m_loop.io(), node, 1);
  auto call = pool.Open(kConnectTimeout);
  if (!call) {
    return Failure::Failure(ToText(node) + ": " + call.reason());
  }
  HttpClientCall& http = **call;
  HttpRequestHead head;
  head.m_method = method;
  head.m_path = path;
  head.m_headers = headers;
  head.m_headers.push_back({"Host", ToText(node)});
  // A frozen node must not hang the operator's command.
  boost::asio::steady_timer timer(m_loop.io(), ToChrono(kResponseTimeout));
  auto pending = std::make_shared<HttpClientCall*>(&http);
  timer.async_wait([pending](const boost::system::error_code& error) {
    if (!error && *pending != nullptr) {
      (*pending)->Cancel();
    }
  });
  auto reply = Exchange(http, head, body);
  *pending = nullptr;
  if (!reply) {
    return Failure::Failure(ToText(node) + ": " + reply.reason());
  }
  return reply;
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
