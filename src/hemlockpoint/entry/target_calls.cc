#include "hemlockpoint/entry/target_calls.h"

#include <utility>

namespace hemlockpoint {

void EndTargetCall(TargetCalls& calls, const std::string& id) {
  const auto found = calls.find(id);
  if (found == calls.end()) {
    return;
  }
  // Removed first, because the cancel functions may access the table.
  const TargetCall call = std::move(found->second);
  calls.erase(found);
  for (const auto& [child, cancel] : call.m_cancel_children) {
    cancel();
  }
}

}  // namespace hemlockpoint
