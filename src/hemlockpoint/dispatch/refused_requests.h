#ifndef HEMLOCKPOINT_DISPATCH_REFUSED_REQUESTS_H_
#define HEMLOCKPOINT_DISPATCH_REFUSED_REQUESTS_H_

#include <cstddef>
#include <deque>
#include <unordered_set>

#include "hemlockpoint/base/ids.h"

namespace hemlockpoint {

/// @brief Maximum number of requests in a node's set. The one that was refused
/// first is evicted first.
inline constexpr std::size_t kMaxRefusedRequests = 16'384;

/// @brief Requests that the target has refused lately, by the digest of their
/// id.
///
/// A target in trouble may write an earlier refusal once more. Responses are
/// matched by the request's id, so a request that returns with the same id must
/// not be sent on a connection on which such a copy may arrive.
struct RefusedRequests {
  std::unordered_set<Fingerprint> m_ids;
  /// In order of insertion, the oldest first.
  std::deque<Fingerprint> m_order;
};

void RecordRefused(RefusedRequests& requests, const RequestId& id);

[[nodiscard]] bool WasRefused(const RefusedRequests& requests,
                              const RequestId& id);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_REFUSED_REQUESTS_H_
