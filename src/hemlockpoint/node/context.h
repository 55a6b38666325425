#ifndef HEMLOCKPOINT_NODE_CONTEXT_H_
#define HEMLOCKPOINT_NODE_CONTEXT_H_

#include <map>
#include <pcg_random.hpp>
#include <string>

#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/entry/filters.h"
#include "hemlockpoint/entry/target_calls.h"
#include "hemlockpoint/report/burn.h"
#include "hemlockpoint/report/counters.h"
#include "hemlockpoint/report/decisions.h"
#include "hemlockpoint/runtime/fiber_loop.h"
#include "hemlockpoint/transport/link_manager.h"
#include "hemlockpoint/wire/membership_messages.h"

namespace hemlockpoint {

/// @brief State shared by the services of one node. Not thread-safe: only the
/// thread of the fiber loop accesses it.
struct NodeContext {
  NodeContext(const Settings& settings, FiberLoop& loop);

  /// @return A random number, uniform in [0, 1).
  [[nodiscard]] double Random();

  /// @return A new unique request id, which starts with the name of this node.
  [[nodiscard]] RequestId NewRequestId();

  const Settings& m_settings;
  FiberLoop& m_loop;
  /// Unix time in milliseconds at which the process started.
  std::uint64_t m_incarnation;
  pcg64 m_random;
  EntryFilterState m_entry;
  TargetCalls m_running_calls;
  /// Members by node, as far as the control group has sent them to this node.
  std::map<NodeId, MemberEntry> m_members;
  /// The policy document in force.
  PolicyDocument m_document;
  /// A leader has sent a policy document, or has reported that there is none.
  bool m_is_policy_known = false;
  DecisionLog m_decisions;
  Counters m_counters;
  BurnRateTable m_burn;
  /// Set before the services run; outlives them.
  LinkManager* m_links = nullptr;
  /// Number of calls that entered at this node and have not ended.
  std::size_t m_entry_calls = 0;
  /// The node is shutting down and announces that it is leaving.
  bool m_leaving = false;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_CONTEXT_H_
