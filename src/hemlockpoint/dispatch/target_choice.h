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

/// @brief What one node knows of a target that it may send calls to.
struct TargetPeer {
  MemberEntry m_member;
  Endpoint m_peer;
  bool m_same_domain = false;
  /// Calls sent by this node that have not ended.
  std::uint64_t m_outstanding = 0;
  /// Those of them that were sent after the last report.
  std::uint64_t m_sent_since_report = 0;
  LoadReport m_load;
  Millis m_load_time{-1e12};
  /// Moving average of the time until an answer, over the typical time of the
  /// same route at all targets.
  double m_slowness = 1;
  /// Share of calls of late that ended without the target's answer, or with
  /// a failure of the target's own.
  double m_failures = 0;
  /// Not chosen before this time while there are others.
  Millis m_avoid_until{-1e12};
};

/// @brief The targets of one service as one node sees them.
using TargetPeers = std::map<NodeId, TargetPeer>;

/// @brief What counts about a call in the choice of its target.
struct ChoiceCriteria {
  /// Typical time until an answer on the route, at all targets; 0 if unknown.
  Millis m_typical_latency;
  /// Time left until the objective.
  Millis m_objective_left;
  /// Bytes of request and expected answer.
  double m_bytes = 0;
  /// Share of a call's worth that a KiB to another failure domain costs.
  double m_cost_per_kib = 0;
  /// Worth of the objective's whole time: while runs that make calls fail for
  /// lack of time, every call's time counts.
  double m_latency_weight = 0.05;
};

/// @brief Estimates when a target would have answered.
[[nodiscard]] Millis ExpectedLatency(const TargetPeer& peer,
                                     Millis typical,
                                     Millis now);

/// @brief Chooses the target with the best chance of an answer in time, less
/// the cost of leaving the failure domain.
/// @param excluded Targets that were tried already.
/// @param random Uniform in [0, 1); decides among equals.
[[nodiscard]] std::optional<NodeId> ChooseTargetPeer(
    const TargetPeers& peers,
    const std::vector<NodeId>& excluded,
    const ChoiceCriteria& terms,
    double random,
    Millis now);

/// @brief Takes in a target's answer or refusal.
void RecordTargetLoad(TargetPeer& peer, const LoadReport& load, Millis now);

/// @brief Takes in how a call has ended.
/// @param typical As in ChoiceCriteria.
/// @param failed The target gave no answer, or a failure of its own.
void RecordTargetOutcome(TargetPeer& peer,
                         Millis duration,
                         Millis typical,
                         bool failed);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_DISPATCH_TARGET_CHOICE_H_
