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

/// @brief A request to the HTTP listener for operators.
struct AdminRequest {
  std::string m_method;
  std::string m_path;
  std::map<std::string, std::string> m_query;
  HeaderFields m_headers;
  std::string m_body;
};

/// @brief A response of the HTTP listener for operators.
struct AdminResponse {
  unsigned m_status = 200;
  std::string m_content_type = "application/json";
  /// Header fields besides Content-Type.
  HeaderFields m_headers;
  std::string m_body;
};

/// @brief Serves requests of operators. Each method and path has one handler.
class AdminService {
 public:
  using Handler = std::function<AdminResponse(const AdminRequest&)>;

  /// @brief Maximum size of a request body in bytes. Larger requests get
  /// status 413.
  static constexpr std::size_t kMaxBodyBytes = std::size_t{1024} * 1024;

  /// @brief Registers the handler of one method and path.
  /// @param method_and_path For example "GET /metrics".
  void Add(const std::string& method_and_path, Handler handler);

  /// @brief Sets the handler of every method and path that has none of its
  /// own. Without a fallback such requests get status 404.
  void SetFallback(Handler handler) { m_fallback = std::move(handler); }

  /// @brief Serves one request on the calling fiber, which may be suspended
  /// while the body is read.
  void Serve(HttpExchange& exchange) const;

 private:
  std::map<std::string, Handler> m_handlers;
  Handler m_fallback;
};

/// @brief Parses a query such as "a=1&b=2" and decodes percent-encoded names
/// and values (RFC 3986, section 2.1).
[[nodiscard]] std::map<std::string, std::string> ParseQuery(
    std::string_view query);

/// @return A response whose body is the JSON value and a newline. Bytes that
/// are not UTF-8 are replaced.
[[nodiscard]] AdminResponse MakeJsonResponse(const nlohmann::ordered_json& json,
                                             unsigned status = 200);

/// @return A response whose body is the JSON object {"error": text}.
[[nodiscard]] AdminResponse MakeErrorResponse(unsigned status,
                                              const std::string& text);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_ADMIN_SERVICE_H_
