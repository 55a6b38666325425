#ifndef HEMLOCKPOINT_RELAY_CONTEXT_H_
#define HEMLOCKPOINT_RELAY_CONTEXT_H_

#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <string>

#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/dispatch/response_sizes.h"
#include "hemlockpoint/dispatch/retry_after_table.h"
#include "hemlockpoint/dispatch/retry_window.h"
#include "hemlockpoint/dispatch/service_times.h"
#include "hemlockpoint/dispatch/target_choice.h"
#include "hemlockpoint/quarantine/crash_counts.h"
#include "hemlockpoint/relay/metrics.h"
#include "hemlockpoint/relay/protocol_adapter.h"
#include "hemlockpoint/routes/route_table.h"
#include "hemlockpoint/runtime/fiber_loop.h"
#include "hemlockpoint/transport/link_layer.h"

namespace hemlockpoint {

/// @brief State that the parts of a node in route mode share; one thread uses
/// it.
struct RelayContext {
  RelayContext(const Settings& settings,
               const ProtocolAdapter& dialect,
               FiberLoop& loop);

  /// @return Uniform in [0, 1).
  [[nodiscard]] double Random();

  Settings m_settings;
  const ProtocolAdapter& m_adapter;
  FiberLoop& m_loop;
  /// Grows with each start of the process.
  std::uint64_t m_incarnation;
  pcg64 m_random;
  /// Null until a leader has told the document.
  std::shared_ptr<const RouteTable> m_table;
  std::map<NodeId, MemberEntry> m_members;
  std::map<ServiceName, TargetPeers> m_services;
  std::map<ServiceName, RetryWindow> m_repeats;
  /// Times until answers by route, over all targets.
  ServiceTimes m_response_times;
  ResponseSizes m_response_sizes;
  /// Congestion that the target's own calls have met, a moving average.
  double m_nested_congestion = 0;
  Millis m_nested_congestion_time{-1e12};
  /// Requests that were refused here and may come back.
  RetryAfterTable m_retry_after_table;
  /// Requests that were in flight when targets crashed.
  CrashCounts m_crashes;
  RelayMetrics m_metrics;
  /// Set before the parts run; outlives them.
  LinkLayer* m_links = nullptr;
  /// Requests that have entered here and not ended.
  std::size_t m_entry_calls = 0;
  std::size_t m_body_bytes = 0;
  bool m_leaving = false;
};

/// @brief Takes in the congestion that an answer to a nested call tells of.
void RecordNestedCongestion(RelayContext& core, double level, Millis now);

/// @return The congestion that nested calls have met in the last second.
[[nodiscard]] double NestedCongestion(const RelayContext& core, Millis now);

/// @brief Applies a change of the directory to what a node knows.
/// @return Peers whose links are stale.
std::vector<std::string> ApplyMembershipDelta(RelayContext& core,
                                              const DirectoryDelta& delta);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_CONTEXT_H_
