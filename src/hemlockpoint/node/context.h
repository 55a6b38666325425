#ifndef HEMLOCKPOINT_NODE_CORE_H_
#define HEMLOCKPOINT_NODE_CORE_H_

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

/// @brief State that the controllers of one node share; one thread uses it.
struct NodeContext {
  NodeContext(const Settings& settings, FiberLoop& loop);

  /// @return Uniform in [0, 1).
  [[nodiscard]] double Random();

  /// @return An id that no other request has, naming this node.
  [[nodiscard]] RequestId NewRequestId();

  const Settings& m_settings;
  FiberLoop& m_loop;
  std::uint64_t m_incarnation;
  pcg64 m_random;
  EntryFilterState m_entry;
  TargetCalls m_records;
  /// Members by node, as far as this node was told.
  std::map<NodeId, MemberEntry> m_members;
  /// The policy document in force, and whether a leader has told it.
  PolicyDocument m_document;
  bool m_is_policy_known = false;
  DecisionLog m_decisions;
  Counters m_counters;
  BurnTable m_burn;
  /// Set before the controllers run; outlives them.
  LinkManager* m_links = nullptr;
  /// Calls that have entered here and not ended.
  std::size_t m_entry_calls = 0;
  bool m_leaving = false;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_CORE_H_
