#include "hemlockpoint/dispatch/target_choice.h"

#include <algorithm>

namespace hemlockpoint {

namespace {

// A report older than this says little of the target's queue.
constexpr Millis kLoadReportMaxAge(1000);
// Averages follow a change within some twenty and fifty calls.
constexpr double kSlownessGain = 0.05;
constexpr double kFailureRateGain = 0.02;
// Failures up to this share are the work's own and say nothing of a target.
constexpr double kBaselineFailureRate = 0.05;
constexpr double kMaxSlowness = 20;
// Share of the objective up to which an answer is as good as certain to be in
// time; service times spread by about half of their mean.
constexpr double kCertainTimeShare = 0.6;
// Share beyond the sure part over which the chance falls to nothing.
constexpr double kUncertainTimeShare = 0.8;
// The cost of crossing never outweighs a much better chance of an answer.
constexpr double kMaxCrossDomainCost = 0.5;
constexpr double kKib = 1024;

double ProbabilityInTime(Millis expected, Millis left) {
  if (left <= Millis(0)) {
    // All are late; the sooner the better.
    return 1 / (1 + expected.value() / 1000);
  }
  const double share = expected / left;
  return std::clamp(1 - (share - kCertainTimeShare) / kUncertainTimeShare, 0.0,
                    1.0);
}

double Utility(const TargetPeer& peer,
               const ChoiceCriteria& terms,
               Millis now) {
  const Millis expected = ExpectedLatency(peer, terms.m_typical_latency, now);
  const double unwell = std::max(0.0, peer.m_failures - kBaselineFailureRate);
  const double chance =
      ProbabilityInTime(expected, terms.m_objective_left) * (1 - unwell);
  const double crossing =
      peer.m_same_domain
          ? 0
          : std::min(kMaxCrossDomainCost,
                     terms.m_bytes / kKib * terms.m_cost_per_kib);
  const Millis scale = Max(terms.m_objective_left, Millis(100));
  return chance - crossing - terms.m_latency_weight * (expected / scale);
}

}  // namespace

Millis ExpectedLatency(const TargetPeer& peer, Millis typical, Millis now) {
  const Millis service = typical * peer.m_slowness;
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
                                       const ChoiceCriteria& terms,
                                       double random,
                                       Millis now) {
  std::vector<const TargetPeer*> candidates;
  for (const bool avoid : {true, false}) {
    for (const auto& [node, peer] : peers) {
      const bool tried =
          std::find(excluded.begin(), excluded.end(), node) != excluded.end();
      const bool usable = !tried && !peer.m_member.m_target.m_leaving;
      if (usable && !(avoid && now < peer.m_avoid_until)) {
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
  // Starting anywhere spreads calls among equals.
  const std::size_t start =
      static_cast<std::size_t>(random * static_cast<double>(candidates.size()));
  const TargetPeer* best = candidates[start];
  double best_utility = Utility(*best, terms, now);
  for (std::size_t i = 1; i < candidates.size(); ++i) {
    const TargetPeer* peer = candidates[(start + i) % candidates.size()];
    const double utility = Utility(*peer, terms, now);
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
                         Millis typical,
                         bool failed) {
  peer.m_failures +=
      ((failed ? 1.0 : 0.0) - peer.m_failures) * kFailureRateGain;
  if (!failed && typical > Millis(0)) {
    const double slowness = std::min(kMaxSlowness, duration / typical);
    peer.m_slowness += (slowness - peer.m_slowness) * kSlownessGain;
  }
}

}  // namespace hemlockpoint
