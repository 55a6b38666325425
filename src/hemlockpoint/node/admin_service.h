#ifndef HEMLOCKPOINT_NODE_ADMIN_SERVICE_H_
#define HEMLOCKPOINT_NODE_ADMIN_SERVICE_H_

#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "hemlockpoint/http/server.h"

namespace hemlockpoint {

/// @brief A request to the operator listener.
struct AdminRequest {
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  HeaderFields m_headers;
  std::string m_body;
};

struct AdminResponse {
  unsigned m_status = 200;
  std::string m_content_type = "application/json";
  /// Further fields.
  HeaderFields m_headers;
  std::string m_body;
};

/// @brief Serves the operator listener: paths with one handler each.
class AdminService {
 public:
  using Handler = std::function<AdminResponse(const AdminRequest&)>;

  /// @brief Largest body of an operator's request in bytes.
  static constexpr std::size_t kMaxBodyBytes = std::size_t{512} * 1024;

  /// @param method_and_path Such as "GET /metrics".
  void Add(const std::string& method_and_path, Handler handler);

  /// @brief Sets what serves every other method and path.
  void SetFallback(Handler handler) { m_fallback = std::move(handler); }

  /// @brief Serves one request on its fiber.
  void Serve(HttpExchange& exchange) const;

 private:
  std::map<std::string, Handler> m_handlers;
  Handler m_fallback;
};

/// @brief Splits "a=1&b=2", with percent-encoded parts (RFC 3986, 2.1).
[[nodiscard]] std::map<std::string, std::string> ParseQuery(
    std::string_view query);

/// @return A response whose body is the JSON value and a line end.
[[nodiscard]] AdminResponse MakeJsonResponse(const nlohmann::ordered_json& json,
                                             unsigned status = 200);

/// @return A response whose body is {"error": text}.
[[nodiscard]] AdminResponse MakeErrorResponse(unsigned status,
                                              const std::string& text);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_ADMIN_SERVICE_H_
