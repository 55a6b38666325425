#include "hemlockpoint/entry/records.h"

#include <utility>

namespace hemlockpoint {

void EndRecord(InboundRecords& records, const std::string& id) {
  const auto found = records.find(id);
  if (found == records.end()) {
    return;
  }
  // Cancelling may look at the records, so the record leaves first.
  const InboundRecord record = std::move(found->second);
  records.erase(found);
  for (const auto& [child, cancel] : record.m_cancel_children) {
    cancel();
  }
}

}  // namespace hemlockpoint
