#ifndef HEMLOCKPOINT_NODE_REFUSAL_RESPONSE_H_
#define HEMLOCKPOINT_NODE_REFUSAL_RESPONSE_H_

#include <string>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/http/server.h"
#include "hemlockpoint/outcome/refusal.h"

namespace hemlockpoint {

/// @brief HTTP response that reports a refusal.
struct RefusalResponse {
  HttpResponseHead m_head;
  std::string m_body;
};

/// @brief Builds the HTTP response for a refused call.
/// @param detail Description of the error in a malformed request; may be empty.
[[nodiscard]] RefusalResponse MakeRefusalResponse(const Refusal& refusal,
                                                  const RequestId& root,
                                                  const std::string& detail);

/// @brief Builds the header fields of a target's response for the caller.
/// Fields with the reserved prefix are removed, because a target can't know
/// the outcome of the call; the request id and the number of attempts are
/// added.
[[nodiscard]] HeaderFields MakeResponseHeaders(const HeaderFields& from_target,
                                               const RequestId& root,
                                               std::size_t attempts);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_REFUSAL_RESPONSE_H_
