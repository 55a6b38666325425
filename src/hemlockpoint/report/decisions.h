#ifndef HEMLOCKPOINT_REPORT_DECISIONS_H_
#define HEMLOCKPOINT_REPORT_DECISIONS_H_

#include <deque>
#include <string>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/outcome/refusal.h"

namespace hemlockpoint {

/// @brief Maximum number of decisions that a node stores; the oldest are
/// dropped first.
inline constexpr std::size_t kMaxStoredDecisions = 16384;

/// @brief A decision that one hop made about a request.
struct Decision {
  double m_unix_ms = 0;
  RequestId m_root;
  /// "entry", "egress" or "target".
  std::string m_hop;
  ServiceName m_service;
  std::string m_method;
  std::string m_path;
  std::string m_priority_class;
  /// Node of the target that the call was sent to; empty if it was not sent.
  NodeId m_target;
  Refusal m_refusal;
  /// Action of the hop: "refused", "rerouted", "retried" or "ended".
  std::string m_action;
};

/// @brief The latest decisions of one node, up to kMaxStoredDecisions.
class DecisionLog {
 public:
  void Add(Decision decision);

  /// @return The decisions about a root request, oldest first.
  [[nodiscard]] std::vector<Decision> Find(const RequestId& root) const;

 private:
  std::deque<Decision> m_decisions;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_REPORT_DECISIONS_H_
