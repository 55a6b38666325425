#ifndef HEMLOCKPOINT_DISPATCH_TARGET_CHOICE_H_
#define HEMLOCKPOINT_DISPATCH_TARGET_CHOICE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/wire/call_messages.h"
#include "hemlockpoint/wire/membership_messages.h"

namespace hemlockpoint {

/// @brief State that one node keeps about a target it may send calls to.
struct TargetPeer {
  MemberEntry m_member;
  Endpoint m_peer;
  bool m_same_domain = false;
  /// Calls that this node sent and that have not ended.
  std::uint64_t m_outstanding = 0;
  /// Calls that this node sent after the last load report.
  std::uint64_t m_sent_since_report = 0;
  LoadReport m_load;
  /// Time of the last load report; far in the past before the first one.
  Millis m_load_time{-1e12};
  /// Exponential moving average of the response latency, divided by the typical
  /// latency of the route at all targets.
  double m_slowness = 1;
  /// Exponential moving average of the share of calls that ended without a
  /// response of the target, or with a failure of its own.
  double m_failure_rate = 0;
  /// Until this time the target is chosen only when no other one is available.
  Millis m_avoid_until{-1e12};
};

/// @brief Targets of one service as seen by one node.
using TargetPeers = std::map<NodeId, TargetPeer>;

/// @brief Properties of a call that affect the choice of its target.
struct ChoiceCriteria {
  /// Typical response latency of the route at all targets; 0 if unknown.
  Millis m_typical_latency;
  /// Time left until the latency objective.
  Millis m_objective_left;
  /// Size of the request plus the expected size of the response.
  double m_bytes = 0;
  /// Utility lost per KiB transferred to or from another failure domain. A
  /// response that is certain to be in time has utility 1.
  double m_cost_per_kib = 0;
  /// Utility lost when the expected latency equals the time left until the
  /// objective. It is raised for nested calls while calls of the target that
  /// makes them fail for lack of time.
  double m_latency_weight = 0.05;
};

/// @brief Estimates the latency of a call at a target.
/// @param typical_latency As in ChoiceCriteria.
/// @return Time from now until the response.
[[nodiscard]] Millis ExpectedLatency(const TargetPeer& peer,
                                     Millis typical_latency,
                                     Millis now);

/// @brief Chooses the target with the highest utility: the probability of a
/// response in time, less the costs of latency and of leaving the failure
/// domain.
/// @param excluded Targets that were already tried for this call.
/// @param random Uniform in [0, 1); decides between targets of equal utility.
/// @return Nothing when no target is available.
[[nodiscard]] std::optional<NodeId> ChooseTargetPeer(
    const TargetPeers& peers,
    const std::vector<NodeId>& excluded,
    const ChoiceCriteria& criteria,
    double random,
    Millis now);

/// @brief Records the load reported with a response or refusal of a target.
void RecordTargetLoad(TargetPeer& peer, const LoadReport& load, Millis now);

/// @brief Records the outcome of a call.
/// @param typical_latency As in ChoiceCriteria.
/// @param failed The target gave no response, or a failure of its own.
void RecordTargetOutcome(TargetPeer& peer,
                         Millis duration,
                         Millis typical_latency,
                         bool failed);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_TARGET_CHOICE_H_
