#include "hemlockpoint/dispatch/refused_requests.h"

#include "hemlockpoint/base/digest.h"

namespace hemlockpoint {

void RecordRefused(RefusedRequests& requests, const RequestId& id) {
  const Fingerprint digest = ComputeDigest({id.value()});
  if (requests.m_ids.insert(digest).second) {
    requests.m_order.push_back(digest);
  }
  while (requests.m_order.size() > kMaxRefusedRequests) {
    requests.m_ids.erase(requests.m_order.front());
    requests.m_order.pop_front();
  }
}

bool WasRefused(const RefusedRequests& requests, const RequestId& id) {
  return requests.m_ids.count(ComputeDigest({id.value()})) != 0;
}

}  // namespace hemlockpoint
