#include "hemlockpoint/claims/planner.h"

#include <algorithm>
#include <set>

#include "hemlockpoint/claims/replica.h"

namespace hemlockpoint {

namespace {

bool IsMember(const ClaimReplicaSet& set, const NodeId& node) {
  return std::any_of(
      set.m_members.begin(), set.m_members.end(),
      [&](const ClaimReplicaInfo& member) { return member.m_node == node; });
}

std::set<std::string> FailureDomainsOf(
    const ClaimReplicaSet& set,
    const std::vector<ReplicaCandidate>& alive) {
  std::set<std::string> domains;
  for (const ReplicaCandidate& candidate : alive) {
    if (IsMember(set, candidate.m_node)) {
      domains.insert(candidate.m_failure_domain);
    }
  }
  return domains;
}

// Prefers a failure domain that has no replica of the set, then a node of the
// service itself, because the service depends on its own nodes anyway.
const ReplicaCandidate* ChooseNewReplica(
    const ClaimReplicaSet& set,
    const std::vector<ReplicaCandidate>& alive) {
  const std::set<std::string> domains = FailureDomainsOf(set, alive);
  const ReplicaCandidate* best = nullptr;
  int best_score = -1;
  for (const ReplicaCandidate& candidate : alive) {
    if (candidate.m_leaving || IsMember(set, candidate.m_node)) {
      continue;
    }
    const int score = (domains.count(candidate.m_failure_domain) == 0 ? 2 : 0) +
                      (candidate.m_service == set.m_service ? 1 : 0);
    if (score > best_score) {
      best = &candidate;
      best_score = score;
    }
  }
  return best;
}

// An even number of replicas would tolerate no more failures than one fewer.
std::size_t ReplicaCountFor(std::size_t nodes) {
  if (nodes >= kPreferredReplicaCount) {
    return kPreferredReplicaCount;
  }
  return nodes >= 3 ? 3 : 1;
}

// Chooses all replicas anew, for the epoch after the previous set.
std::optional<ClaimReplicaSet> MakeNewSet(
    const ClaimReplicaSet& previous,
    const std::vector<ReplicaCandidate>& alive,
    bool previous_majority_lost) {
  ClaimReplicaSet set;
  set.m_service = previous.m_service;
  set.m_epoch = previous.m_epoch + 1;
  set.m_previous_majority_lost = previous_majority_lost;
  const std::size_t wanted = ReplicaCountFor(alive.size());
  while (set.m_members.size() < wanted) {
    const ReplicaCandidate* node = ChooseNewReplica(set, alive);
    if (node == nullptr) {
      break;
    }
    ClaimReplicaInfo member;
    member.m_node = node->m_node;
    member.m_peer = node->m_peer;
    member.m_joined_epoch = set.m_epoch;
    member.m_founding_incarnation =
        previous_majority_lost ? 0 : node->m_incarnation;
    set.m_members.push_back(std::move(member));
  }
  if (set.m_members.empty()) {
    return std::nullopt;
  }
  return set;
}

bool IsDownTooLong(const DowntimeByNode& downtimes, const NodeId& node) {
  const auto downtime = downtimes.find(node);
  return downtime != downtimes.end() &&
         downtime->second > kReplicaReplacementDelay;
}

}  // namespace

std::optional<ClaimReplicaSet> PlanClaimSet(
    const ClaimReplicaSet& set,
    const std::vector<ReplicaCandidate>& alive,
    const DowntimeByNode& downtimes) {
  if (set.m_epoch == 0) {
    return MakeNewSet(set, alive, false);
  }
  std::size_t lost = 0;
  for (const ClaimReplicaInfo& member : set.m_members) {
    lost += IsDownTooLong(downtimes, member.m_node) ? 1 : 0;
  }
  if (lost == 0) {
    return std::nullopt;
  }
  const std::size_t remaining = set.m_members.size() - lost;
  if (remaining < MajoritySize(set.m_members.size())) {
    // A replacement can't sync from a majority of the set any more.
    return MakeNewSet(set, alive, true);
  }
  const ReplicaCandidate* replacement = ChooseNewReplica(set, alive);
  if (replacement == nullptr) {
    return std::nullopt;
  }
  ClaimReplicaSet next = set;
  next.m_epoch = set.m_epoch + 1;
  next.m_previous_majority_lost = false;
  for (ClaimReplicaInfo& member : next.m_members) {
    if (IsDownTooLong(downtimes, member.m_node)) {
      member = {replacement->m_node, replacement->m_peer, next.m_epoch, 0};
      break;
    }
  }
  return next;
}

}  // namespace hemlockpoint
