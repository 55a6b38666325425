#include "hemlockpoint/report/decisions.h"

#include <utility>

namespace hemlockpoint {

void DecisionLog::Add(Decision decision) {
  if (m_decisions.size() >= kMaxStoredDecisions) {
    m_decisions.pop_front();
  }
  m_decisions.push_back(std::move(decision));
}

std::vector<Decision> DecisionLog::Find(const RequestId& root) const {
  std::vector<Decision> found;
  for (const Decision& decision : m_decisions) {
    if (decision.m_root == root) {
      found.push_back(decision);
    }
  }
  return found;
}

}  // namespace hemlockpoint
