#include "hemlockpoint/dispatch/retry_after_table.h"

namespace hemlockpoint {

void RecordRetryAfter(RetryAfterTable& appointments,
                      Fingerprint request,
                      Millis retry_after,
                      Millis time_left,
                      Millis now) {
  const Millis pause = Min(retry_after, time_left * kMaxWaitShare);
  const bool is_new = appointments.m_entries.count(request) == 0;
  appointments.m_entries[request] = {now + pause * kMinWaitedShare,
                                     now + pause + kReturnGracePeriod};
  if (is_new) {
    appointments.m_order.push_back(request);
  }
  while (appointments.m_order.size() > kMaxRetryAfterEntries) {
    appointments.m_entries.erase(appointments.m_order.front());
    appointments.m_order.pop_front();
  }
}

bool IsOnTimeReturn(RetryAfterTable& appointments,
                    Fingerprint request,
                    Millis now) {
  const auto entry = appointments.m_entries.find(request);
  return entry != appointments.m_entries.end() && entry->second.m_from <= now &&
         now <= entry->second.m_latest_return;
}

}  // namespace hemlockpoint
