#ifndef HEMLOCKPOINT_NODE_REFUSAL_RESPONSE_H_
#define HEMLOCKPOINT_NODE_REFUSAL_RESPONSE_H_

#include <string>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/http/server.h"
#include "hemlockpoint/outcome/refusal.h"

namespace hemlockpoint {

/// @brief A refusal as an HTTP response.
struct RefusalResponse {
  HttpResponseHead m_head;
  std::string m_body;
};

/// @param detail A sentence on malformed requests; may be empty.
[[nodiscard]] RefusalResponse MakeRefusalResponse(const Refusal& refusal,
                                                  const RequestId& root,
                                                  const std::string& detail);

/// @brief Fields of a target's answer as the caller gets them. Fields that
/// speak for this system are taken out, since a target can't know the outcome.
[[nodiscard]] HeaderFields MakeResponseHeaders(const HeaderFields& from_target,
                                               const RequestId& root,
                                               std::size_t attempts);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_REFUSAL_RESPONSE_H_
