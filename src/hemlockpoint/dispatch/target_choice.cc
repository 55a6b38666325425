#include "hemlockpoint/dispatch/target_choice.h"

#include <algorithm>

namespace hemlockpoint {

namespace {

// An older load report no longer describes the queue of the target.
constexpr Millis kLoadReportMaxAge(1000);
// The averages follow a change within about 20 and 50 calls, respectively.
constexpr double kSlownessGain = 0.05;
constexpr double kFailureRateGain = 0.02;
// Failure rate that is attributed to the calls themselves, not to a target.
constexpr double kBaselineFailureRate = 0.05;
constexpr double kMaxSlowness = 20;
// Share of the time left until the objective up to which an expected latency is
// regarded as certain to be in time. Service times vary by about half of their
// mean.
constexpr double kCertainTimeShare = 0.6;
// Further share of the time left over which the probability falls to 0.
constexpr double kUncertainTimeShare = 0.8;
// Bounds the cost of leaving the failure domain, so that it never outweighs a
// much higher probability of a response in time.
constexpr double kMaxCrossDomainCost = 0.5;
constexpr double kKib = 1024;

double ProbabilityInTime(Millis expected, Millis left) {
  if (left <= Millis(0)) {
    // Every response is late. The lowest latency is preferred.
    return 1 / (1 + expected.value() / 1000);
  }
  const double share = expected / left;
  return std::clamp(1 - (share - kCertainTimeShare) / kUncertainTimeShare, 0.0,
                    1.0);
}

double Utility(const TargetPeer& peer,
               const ChoiceCriteria& criteria,
               Millis now) {
  const Millis expected =
      ExpectedLatency(peer, criteria.m_typical_latency, now);
  const double excess_failure_rate =
      std::max(0.0, peer.m_failure_rate - kBaselineFailureRate);
  const double probability =
      ProbabilityInTime(expected, criteria.m_objective_left) *
      (1 - excess_failure_rate);
  const double crossing_cost =
      peer.m_same_domain
          ? 0
          : std::min(kMaxCrossDomainCost,
                     criteria.m_bytes / kKib * criteria.m_cost_per_kib);
  const Millis scale = Max(criteria.m_objective_left, Millis(100));
  return probability - crossing_cost -
         criteria.m_latency_weight * (expected / scale);
}

}  // namespace

Millis ExpectedLatency(const TargetPeer& peer,
                       Millis typical_latency,
                       Millis now) {
  const Millis service = typical_latency * peer.m_slowness;
  if (now - peer.m_load_time > kLoadReportMaxAge || peer.m_load.m_limit <= 0) {
    const double slots = std::max<double>(
        1, static_cast<double>(peer.m_member.m_target.m_slots));
    return service *
           std::max(1.0, static_cast<double>(peer.m_outstanding) / slots);
  }
  const double ahead = static_cast<double>(peer.m_load.m_in_flight) +
                       static_cast<double>(peer.m_load.m_queued) +
                       static_cast<double>(peer.m_sent_since_report);
  const double waiting = std::max(0.0, ahead - peer.m_load.m_limit + 1);
  return service + peer.m_load.m_service_time * (waiting / peer.m_load.m_limit);
}

std::optional<NodeId> ChooseTargetPeer(const TargetPeers& peers,
                                       const std::vector<NodeId>& excluded,
                                       const ChoiceCriteria& criteria,
                                       double random,
                                       Millis now) {
  std::vector<const TargetPeer*> candidates;
  for (const bool skip_avoided : {true, false}) {
    for (const auto& [node, peer] : peers) {
      const bool is_tried =
          std::find(excluded.begin(), excluded.end(), node) != excluded.end();
      const bool is_usable = !is_tried && !peer.m_member.m_target.m_leaving;
      if (is_usable && !(skip_avoided && now < peer.m_avoid_until)) {
        candidates.push_back(&peer);
      }
    }
    if (!candidates.empty()) {
      break;
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  // A random start distributes calls over targets of equal utility.
  const std::size_t start =
      static_cast<std::size_t>(random * static_cast<double>(candidates.size()));
  const TargetPeer* best = candidates[start];
  double best_utility = Utility(*best, criteria, now);
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const TargetPeer* peer = candidates[(start + i) % candidates.size()];
    const double utility = Utility(*peer, criteria, now);
    if (utility > best_utility) {
      best = peer;
      best_utility = utility;
    }
  }
  return best->m_member.m_node;
}

void RecordTargetLoad(TargetPeer& peer, const LoadReport& load, Millis now) {
  peer.m_load = load;
  peer.m_load_time = now;
  peer.m_sent_since_report = 0;
}

void RecordTargetOutcome(TargetPeer& peer,
                         Millis duration,
                         Millis typical_latency,
                         bool failed) {
  peer.m_failure_rate +=
      ((failed ? 1.0 : 0.0) - peer.m_failure_rate) * kFailureRateGain;
  if (!failed && typical_latency > Millis(0)) {
    const double slowness = std::min(kMaxSlowness, duration / typical_latency);
    peer.m_slowness += (slowness - peer.m_slowness) * kSlownessGain;
  }
}

}  // namespace hemlockpoint
