#include "hemlockpoint/dispatch/retry_after_table.h"

namespace hemlockpoint {

void RecordRetryAfter(RetryAfterTable& table,
                      Fingerprint request,
                      Millis retry_after,
                      Millis time_left,
                      Millis now) {
  const Millis delay = Min(retry_after, time_left * kMaxWaitShare);
  const bool is_new = table.m_entries.count(request) == 0;
  table.m_entries[request] = {now + delay * kMinWaitedShare,
                              now + delay + kReturnGracePeriod};
  if (is_new) {
    table.m_order.push_back(request);
  }
  while (table.m_order.size() > kMaxRetryAfterEntries) {
    table.m_entries.erase(table.m_order.front());
    table.m_order.pop_front();
  }
}

bool IsOnTimeReturn(RetryAfterTable& table, Fingerprint request, Millis now) {
  const auto entry = table.m_entries.find(request);
  return entry != table.m_entries.end() &&
         entry->second.m_earliest_return <= now &&
         now <= entry->second.m_latest_return;
}

}  // namespace hemlockpoint
