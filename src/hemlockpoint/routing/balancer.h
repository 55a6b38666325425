#ifndef HEMLOCKPOINT_ROUTING_BALANCER_H_
#define HEMLOCKPOINT_ROUTING_BALANCER_H_

#include <map>
#include <optional>
#include <vector>

#include "hemlockpoint/admission/durations.h"
#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/wire/call_messages.h"

namespace hemlockpoint {

/// @brief State that one node keeps about a target it sends calls to.
struct TargetView {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  std::string m_region;
  double m_slots = 1;
  bool m_leaving = false;
  /// Time at which this node learned of the target; its share of calls ramps up
  /// from then on.
  Millis m_known_since;

  /// Calls that this node sent and that have not ended.
  std::uint64_t m_outstanding = 0;
  LoadReport m_load;
  /// Time of the last load report; far in the past before the first one.
  Millis m_load_time{-1e12};
  /// Exponential moving average of the response latency, divided by the mean
  /// latency of the kind of work at all targets.
  double m_slowness = 1;
  /// Time of the last update of m_slowness.
  Millis m_slowness_time;
  /// Responses since the target was added or its last probation ended.
  std::uint64_t m_responses = 0;

  std::uint64_t m_consecutive_failures = 0;
  /// Exponent of the next ejection time; incremented by an ejection and
  /// decremented by a successful probation.
  std::uint64_t m_ejection_level = 0;
  Millis m_ejected_until{-1e12};
  /// Set by an ejection until the target proves healthy. After m_ejected_until
  /// the target gets one call at a time as a probe.
  bool m_on_probation = false;
};

/// @brief Targets of one service as seen by one node.
struct Balancer {
  std::map<NodeId, TargetView> m_targets;
  /// Response latencies by kind of work, over all targets.
  DurationTable m_durations;
};

/// @brief Two uniform random numbers in [0, 1).
struct RandomPair {
  double m_first = 0;
  double m_second = 0;
};

/// @brief Chooses the less loaded of two random targets (Mitzenmacher, "The
/// Power of Two Choices in Randomized Load Balancing", 2001). Ejected targets
/// are considered only when there are no others.
/// @param excluded Targets that were already tried for this call.
/// @return The target, or nothing when none is available.
[[nodiscard]] std::optional<NodeId> ChooseTarget(
    const Balancer& balancer,
    const std::vector<NodeId>& excluded,
    const std::string& own_region,
    RandomPair random,
    Millis now);

/// @brief Records that a call was sent to a target.
void RecordSent(Balancer& balancer, const NodeId& node);

/// @brief Outcome of a sent call.
enum class SendOutcome {
  /// The target responded.
  kAnswered,
  /// The node of the target refused the call. This is no sign of a failure.
  kRefused,
  /// The target or its node could not be reached, or was lost.
  kFailed,
  /// The caller cancelled the call.
  kCancelled,
};

/// @brief Records the outcome of a sent call. Ejects the target after
/// consecutive failures, or if it responds much slower than the others.
void RecordEnd(Balancer& balancer,
               const NodeId& node,
               SendOutcome outcome,
               const KindName& kind,
               Millis duration,
               Millis now);

/// @brief Records the load that the node of a target reported with a response.
void RecordLoad(Balancer& balancer,
                const NodeId& node,
                const LoadReport& load,
                Millis now);

/// @return Number of targets that are neither leaving nor ejected.
[[nodiscard]] std::size_t CountUsableTargets(const Balancer& balancer,
                                             Millis now);

/// @return The load of the target as compared by ChooseTarget(); lower is
/// better.
[[nodiscard]] double LoadScore(const TargetView& target, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ROUTING_BALANCER_H_
