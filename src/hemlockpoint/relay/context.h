#ifndef HEMLOCKPOINT_RELAY_CONTEXT_H_
#define HEMLOCKPOINT_RELAY_CONTEXT_H_

#include <map>
#include <memory>
#include <optional>
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
#include "hemlockpoint/transport/link_manager.h"

namespace hemlockpoint {

/// @brief Period of AvoidSilentTargets().
inline constexpr Millis kSilentCheckPeriod(100);

/// @brief State shared by the components of a node in route mode. Not
/// thread-safe: all access happens on the thread of the fiber loop.
struct RelayContext {
  RelayContext(const Settings& settings,
               const ProtocolAdapter& adapter,
               FiberLoop& loop);

  /// @return Uniform in [0, 1).
  [[nodiscard]] double Random();

  Settings m_settings;
  const ProtocolAdapter& m_adapter;
  FiberLoop& m_loop;
  /// Unix milliseconds at process start; a later process has a greater value.
  std::uint64_t m_incarnation;
  pcg64 m_random;
  /// Null until the first route document has been received.
  std::shared_ptr<const RouteTable> m_route_table;
  std::map<NodeId, MemberEntry> m_members;
  std::map<ServiceName, TargetPeers> m_targets_by_service;
  /// Recent requests and retries by service.
  std::map<ServiceName, RetryWindow> m_retry_windows;
  /// Mean time from dispatch to response by route, over all targets.
  ServiceTimes m_response_times;
  ResponseSizes m_response_sizes;
  /// Moving average of the congestion reported by services that the target
  /// beside this node calls.
  double m_nested_congestion = 0;
  Millis m_nested_congestion_time{-1e12};
  /// Requests refused by this node with a Retry-After, by fingerprint.
  RetryAfterTable m_retry_after_table;
  /// Target crashes by the fingerprints of the requests then in flight.
  CrashCounts m_crash_counts;
  RelayMetrics m_metrics;
  /// Set before the components start; outlives them.
  LinkManager* m_links = nullptr;
  /// Requests received by this node that have no response yet.
  std::size_t m_entry_calls = 0;
  /// Request body bytes held in memory as the entry.
  std::size_t m_body_bytes = 0;
  /// Request body bytes reserved for calls to the target.
  std::size_t m_target_body_bytes = 0;
  bool m_leaving = false;
  /// While the node is leaving: when it ends the calls that are still in
  /// progress.
  std::optional<Millis> m_stops_at;
};

/// @brief Updates the moving average with the congestion level that a response
/// to a nested call reports.
void RecordNestedCongestion(RelayContext& context, double level, Millis now);

/// @return The average congestion met by nested calls; 0 when the last one was
/// recorded more than a second ago.
[[nodiscard]] double NestedCongestion(const RelayContext& context, Millis now);

/// @brief Avoids targets behind silent links for a short time. Calls that are
/// in progress on these links continue.
void AvoidSilentTargets(RelayContext& context,
                        const std::vector<Endpoint>& silent_peers,
                        Millis now);

/// @brief Applies a change of the member directory to the members and targets
/// that this node knows.
/// @return Peer endpoints of members that were removed or restarted, whose
/// links are stale.
std::vector<std::string> ApplyMembershipDelta(RelayContext& context,
                                              const DirectoryDelta& delta);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_CONTEXT_H_
