#include "hemlockpoint/routing/balancer.h"

#include <algorithm>
#include <cmath>

namespace hemlockpoint {

namespace {

constexpr Millis kLoadReportMaxAge(250);
constexpr double kSlownessWeight = 0.2;
// Time constant with which slowness decays to 1 without responses, so that a
// recovered target gets calls again.
constexpr Millis kSlownessDecayTime(10'000);
// Lower slowness is ignored, so that small differences don't direct all calls
// to one target under low load.
constexpr double kMinCountedSlowness = 1.3;
constexpr Millis kSlowStartDuration(5000);
constexpr double kSlowStartShare = 0.1;
constexpr std::uint64_t kFailuresToEject = 3;
constexpr double kSlownessToEject = 4;
constexpr std::uint64_t kMinResponsesToEject = 5;
constexpr Millis kBaseEjectionTime(2000);
constexpr Millis kMaxEjectionTime(30'000);
constexpr double kMaxEjectedShare = 1.0 / 3;
// A target in another region is preferred only if its load score is lower by
// more than this factor.
constexpr double kOtherRegionFactor = 4;

bool IsEjected(const TargetView& target, Millis now) {
  return now < target.m_ejected_until ||
         (target.m_on_probation && target.m_outstanding > 0);
}

bool IsUsable(const TargetView& target, Millis now) {
  return !target.m_leaving && !IsEjected(target, now);
}

double DecayedSlowness(const TargetView& target, Millis now) {
  const double age = (now - target.m_slowness_time) / kSlownessDecayTime;
  return 1 + (target.m_slowness - 1) * std::exp(-std::max(0.0, age));
}

// Whether the share of ejected targets stays within its bound after one more
// ejection.
bool CanEjectAnother(const Balancer& balancer, Millis now) {
  double ejected = 1;
  for (const auto& [node, target] : balancer.m_targets) {
    ejected += now < target.m_ejected_until || target.m_on_probation ? 1 : 0;
  }
  const auto count = static_cast<double>(balancer.m_targets.size());
  return count > 1 && ejected <= std::max(1.0, count * kMaxEjectedShare);
}

void Eject(const Balancer& balancer, TargetView& target, Millis now) {
  if (!target.m_on_probation && !CanEjectAnother(balancer, now)) {
    return;
  }
  const double doublings = static_cast<double>(target.m_ejection_level);
  const Millis time = kBaseEjectionTime * std::pow(2.0, doublings);
  target.m_ejected_until = now + Min(time, kMaxEjectionTime);
  target.m_on_probation = true;
  target.m_consecutive_failures = 0;
  ++target.m_ejection_level;
}

// Responses during the ejection are ignored, since their calls were sent before
// it.
void EvaluateProbation(const Balancer& balancer,
                       TargetView& target,
                       double slowness,
                       Millis now) {
  if (now < target.m_ejected_until) {
    return;
  }
  if (slowness >= kSlownessToEject / 2) {
    Eject(balancer, target, now);
    return;
  }
  target.m_on_probation = false;
  target.m_slowness = 1;
  target.m_responses = 0;
  target.m_ejection_level -= target.m_ejection_level > 0 ? 1 : 0;
}

void RecordResponse(Balancer& balancer,
                    TargetView& target,
                    const KindName& kind,
                    Millis duration,
                    Millis now) {
  const Millis mean = ExpectedDuration(balancer.m_durations, kind);
  RecordDuration(balancer.m_durations, kind, duration, now);
  target.m_consecutive_failures = 0;
  ++target.m_responses;
  if (mean <= Millis(0)) {
    return;
  }
  const double sample = duration / mean;
  const double before = DecayedSlowness(target, now);
  target.m_slowness = before + (sample - before) * kSlownessWeight;
  target.m_slowness_time = now;
  if (target.m_on_probation) {
    EvaluateProbation(balancer, target, sample, now);
  } else if (target.m_slowness > kSlownessToEject &&
             target.m_responses >= kMinResponsesToEject) {
    Eject(balancer, target, now);
  }
}

std::vector<const TargetView*> FindCandidates(
    const Balancer& balancer,
    const std::vector<NodeId>& excluded,
    Millis now,
    bool include_ejected) {
  std::vector<const TargetView*> candidates;
  for (const auto& [node, target] : balancer.m_targets) {
    const bool is_tried =
        std::find(excluded.begin(), excluded.end(), node) != excluded.end();
    const bool is_usable =
        include_ejected ? !target.m_leaving : IsUsable(target, now);
    if (!is_tried && is_usable) {
      candidates.push_back(&target);
    }
  }
  return candidates;
}

}  // namespace

double LoadScore(const TargetView& target, Millis now) {
  double load = static_cast<double>(target.m_outstanding);
  double capacity = target.m_slots;
  if (now - target.m_load_time < kLoadReportMaxAge) {
    const std::uint64_t reported =
        target.m_load.m_in_flight + target.m_load.m_queued;
    load = std::max(load, static_cast<double>(reported));
    capacity = std::max(1.0, target.m_load.m_limit);
  }
  const double age =
      std::clamp((now - target.m_known_since) / kSlowStartDuration, 0.0, 1.0);
  const double ramp = kSlowStartShare + (1 - kSlowStartShare) * age;
  double slowness = DecayedSlowness(target, now);
  slowness = slowness < kMinCountedSlowness ? 1 : slowness;
  return (load + 1) / (capacity * ramp) * slowness;
}

std::optional<NodeId> ChooseTarget(const Balancer& balancer,
                                   const std::vector<NodeId>& excluded,
                                   const std::string& own_region,
                                   RandomPair random,
                                   Millis now) {
  std::vector<const TargetView*> candidates =
      FindCandidates(balancer, excluded, now, false);
  if (candidates.empty()) {
    // An ejected target is better than none.
    candidates = FindCandidates(balancer, excluded, now, true);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto count = static_cast<double>(candidates.size());
  const auto first = static_cast<std::size_t>(random.m_first * count);
  auto second = static_cast<std::size_t>(random.m_second * (count - 1));
  second += second >= first ? 1 : 0;
  const TargetView* a = candidates[std::min(first, candidates.size() - 1)];
  const TargetView* b = candidates[std::min(second, candidates.size() - 1)];
  const auto score = [&](const TargetView* target) {
    const bool is_other_region = target->m_region != own_region;
    return LoadScore(*target, now) * (is_other_region ? kOtherRegionFactor : 1);
  };
  return score(a) <= score(b) ? a->m_node : b->m_node;
}

void RecordSent(Balancer& balancer, const NodeId& node) {
  const auto found = balancer.m_targets.find(node);
  if (found != balancer.m_targets.end()) {
    ++found->second.m_outstanding;
  }
}

void RecordEnd(Balancer& balancer,
               const NodeId& node,
               SendOutcome outcome,
               const KindName& kind,
               Millis duration,
               Millis now) {
  const auto found = balancer.m_targets.find(node);
  if (found == balancer.m_targets.end()) {
    return;
  }
  TargetView& target = found->second;
  target.m_outstanding -= target.m_outstanding > 0 ? 1 : 0;
  if (outcome == SendOutcome::kAnswered) {
    RecordResponse(balancer, target, kind, duration, now);
  } else if (outcome == SendOutcome::kRefused) {
    target.m_consecutive_failures = 0;
  } else if (outcome == SendOutcome::kFailed) {
    ++target.m_consecutive_failures;
    if (target.m_on_probation ||
        target.m_consecutive_failures >= kFailuresToEject) {
      Eject(balancer, target, now);
    }
  }
}

void RecordLoad(Balancer& balancer,
                const NodeId& node,
                const LoadReport& load,
                Millis now) {
  const auto found = balancer.m_targets.find(node);
  if (found == balancer.m_targets.end()) {
    return;
  }
  found->second.m_load = load;
  found->second.m_load_time = now;
  found->second.m_leaving = found->second.m_leaving || load.m_leaving;
}

std::size_t CountUsableTargets(const Balancer& balancer, Millis now) {
  return FindCandidates(balancer, {}, now, false).size();
}

}  // namespace hemlockpoint
