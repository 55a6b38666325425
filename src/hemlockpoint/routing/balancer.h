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

/// @brief What one node knows of one target that it sends calls to.
struct TargetView {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  std::string m_region;
  double m_slots = 1;
  bool m_leaving = false;
  /// When this node learned of the target; its share ramps up from there.
  Millis m_known_since;

  /// Calls that this node has sent and that have not ended.
  std::uint64_t m_outstanding = 0;
  LoadReport m_load;
  Millis m_load_time{-1e12};
  /// Answer time over the mean of the call's kind, a moving average.
  double m_slowness = 1;
  Millis m_slowness_time;
  std::uint64_t m_answers = 0;

  std::uint64_t m_consecutive_failures = 0;
  std::uint64_t m_ejection_level = 0;
  Millis m_ejected_until{-1e12};
  /// An ejection is over, and one call at a time tests the target.
  bool m_on_probation = false;
};

/// @brief The targets of one service as one node sees them.
struct Balancer {
  std::map<NodeId, TargetView> m_targets;
  /// Answer times by kind over all targets.
  DurationTable m_durations;
};

/// @brief Two uniform random numbers in [0, 1).
struct RandomPair {
  double m_first = 0;
  double m_second = 0;
};

/// @brief Chooses the less loaded of two random targets (Mitzenmacher, "The
/// Power of Two Choices in Randomized Load Balancing", 2001).
/// @param excluded Targets that were tried for this call already.
/// @return The target, or nothing when none may take calls.
[[nodiscard]] std::optional<NodeId> ChooseTarget(
    const Balancer& balancer,
    const std::vector<NodeId>& excluded,
    const std::string& own_region,
    RandomPair draws,
    Millis now);

/// @brief Notes that a call was sent to a target.
void RecordSent(Balancer& balancer, const NodeId& node);

/// @brief How a sent call ended.
enum class SendOutcome {
  /// The target answered.
  kAnswered,
  /// The target's node refused, which says nothing about its health.
  kRefused,
  /// The target or its node could not be reached, or was lost.
  kFailed,
  /// The caller gave up.
  kCancelled,
};

/// @brief Notes the end of a sent call, and ejects a target that has failed
/// repeatedly or answers much slower than the others.
void RecordEnd(Balancer& balancer,
               const NodeId& node,
               SendOutcome end,
               const KindName& kind,
               Millis duration,
               Millis now);

/// @brief Notes the load that a target's node reported with an answer.
void RecordLoad(Balancer& balancer,
                const NodeId& node,
                const LoadReport& load,
                Millis now);

/// @return Targets that are neither leaving nor ejected.
[[nodiscard]] std::size_t CountUsableTargets(const Balancer& balancer,
                                             Millis now);

/// @return The target's load as ChooseTarget() compares it; lower is better.
[[nodiscard]] double LoadScore(const TargetView& target, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_ROUTING_BALANCER_H_
