#ifndef HEMLOCKPOINT_CTL_ADMIN_CLIENT_H_
#define HEMLOCKPOINT_CTL_ADMIN_CLIENT_H_

#include <string>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/result.h"
#include "hemlockpoint/http/heads.h"
#include "hemlockpoint/runtime/fiber_loop.h"

namespace hemlockpoint {

/// @brief Response of an admin listener.
struct AdminClientResponse {
  unsigned m_status = 0;
  std::string m_body;
};

/// @brief Sends HTTP requests to the admin listeners of nodes. Its functions
/// block the calling fiber.
class AdminClient {
 public:
  explicit AdminClient(FiberLoop& loop) : m_loop(loop) {}

  /// @return The response, whatever its status, or why there is none.
  [[nodiscard]] Result<AdminClientResponse> Request(
      const Endpoint& node,
      const std::string& method,
      const std::string& path,
      const HeaderFields& headers,
      const std::string& body) const;

  [[nodiscard]] Result<AdminClientResponse> Get(const Endpoint& node,
                                                const std::string& path) const;

 private:
  FiberLoop& m_loop;
};

/// @return The text with all characters percent-encoded except the unreserved
/// ones (RFC 3986, sections 2.1 and 2.3).
[[nodiscard]] std::string PercentEncode(const std::string& text);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CTL_ADMIN_CLIENT_H_
