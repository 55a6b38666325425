#ifndef HEMLOCKPOINT_REPORT_DECISIONS_H_
#define HEMLOCKPOINT_REPORT_DECISIONS_H_

#include <deque>
#include <string>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/outcome/refusal.h"

namespace hemlockpoint {

/// @brief Decisions that one node remembers; the oldest give way.
inline constexpr std::size_t kMaxStoredDecisions = 16384;

/// @brief One decision of one hop about a request.
struct Decision {
  double m_unix_ms = 0;
  RequestId m_root;
  /// "entry", "egress" or "target".
  std::string m_hop;
  ServiceName m_service;
  std::string m_method;
  std::string m_path;
  std::string m_priority_class;
  /// The target's node that the call was sent to; empty when it was not.
  NodeId m_target;
  Refusal m_refusal;
  /// What the hop did next: "refused", "rerouted", "retried" or "ended".
  std::string m_action;
};

/// @brief The latest decisions of one node.
class DecisionLog {
 public:
  void Add(Decision decision);

  /// @return Decisions about a request, the oldest first.
  [[nodiscard]] std::vector<Decision> Find(const RequestId& root) const;

 private:
  std::deque<Decision> m_decisions;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_REPORT_DECISIONS_H_
