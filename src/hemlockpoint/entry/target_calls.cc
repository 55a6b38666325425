#include "hemlockpoint/entry/target_calls.h"

#include <utility>

namespace hemlockpoint {

void EndTargetCall(TargetCalls& records, const std::string& id) {
  const auto found = records.find(id);
  if (found == records.end()) {
    return;
  }
  // Cancelling may look at the records, so the record leaves first.
  const TargetCall record = std::move(found->second);
  records.erase(found);
  for (const auto& [child, cancel] : record.m_cancel_children) {
    cancel();
  }
}

}  // namespace hemlockpoint
