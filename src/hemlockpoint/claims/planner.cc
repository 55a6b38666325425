#include "hemlockpoint/claims/planner.h"

#include <algorithm>
#include <set>

#include "hemlockpoint/claims/replica.h"

namespace hemlockpoint {

namespace {

bool IsMember(const ClaimSet& set, const NodeId& node) {
  return std::any_of(
      set.m_members.begin(), set.m_members.end(),
      [&](const ClaimMember& member) { return member.m_node == node; });
}

std::set<std::string> DomainsOf(const ClaimSet& set,
                                const std::vector<ReplicaCandidate>& alive) {
  std::set<std::string> domains;
  for (const ReplicaCandidate& candidate : alive) {
    if (IsMember(set, candidate.m_node)) {
      domains.insert(candidate.m_failure_domain);
    }
  }
  return domains;
}

// Prefers a failure domain that has no replica yet, then a node of the
// service itself, whose life matters to the service anyway.
const ReplicaCandidate* ChooseNewReplica(
    const ClaimSet& set,
    const std::vector<ReplicaCandidate>& alive) {
  const std::set<std::string> domains = DomainsOf(set, alive);
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

std::size_t ReplicaCountFor(std::size_t nodes) {
  if (nodes >= kPreferredReplicaCount) {
    return kPreferredReplicaCount;
  }
  return nodes >= 3 ? 3 : 1;
}

std::optional<ClaimSet> MakeNewSet(const ClaimSet& none,
                                   const std::vector<ReplicaCandidate>& alive,
                                   bool fresh) {
  ClaimSet set;
  set.m_service = none.m_service;
  set.m_epoch = none.m_epoch + 1;
  set.m_fresh = fresh;
  const std::size_t wanted = ReplicaCountFor(alive.size());
  while (set.m_members.size() < wanted) {
    const ReplicaCandidate* node = ChooseNewReplica(set, alive);
    if (node == nullptr) {
      break;
    }
    ClaimMember member;
    member.m_node = node->m_node;
    member.m_peer = node->m_peer;
    member.m_joined = set.m_epoch;
    member.m_founder = fresh ? 0 : node->m_incarnation;
    set.m_members.push_back(std::move(member));
  }
  if (set.m_members.empty()) {
    return std::nullopt;
  }
  return set;
}

bool IsDownTooLong(const DowntimeByNode& absences, const NodeId& node) {
  const auto absence = absences.find(node);
  return absence != absences.end() &&
         absence->second > kReplicaReplacementDelay;
}

}  // namespace

std::optional<ClaimSet> PlanClaimSet(const ClaimSet& set,
                                     const std::vector<ReplicaCandidate>& alive,
                                     const DowntimeByNode& absences) {
  if (set.m_epoch == 0) {
    return MakeNewSet(set, alive, false);
  }
  std::size_t gone = 0;
  for (const ClaimMember& member : set.m_members) {
    gone += IsDownTooLong(absences, member.m_node) ? 1 : 0;
  }
  if (gone == 0) {
    return std::nullopt;
  }
  const std::size_t left = set.m_members.size() - gone;
  if (left < MajoritySize(set.m_members.size())) {
    // Nobody can copy from a majority any more.
    return MakeNewSet(set, alive, true);
  }
  const ReplicaCandidate* newcomer = ChooseNewReplica(set, alive);
  if (newcomer == nullptr) {
    return std::nullopt;
  }
  ClaimSet next = set;
  next.m_epoch = set.m_epoch + 1;
  next.m_fresh = false;
  for (ClaimMember& member : next.m_members) {
    if (IsDownTooLong(absences, member.m_node)) {
      member = {newcomer->m_node, newcomer->m_peer, next.m_epoch, 0};
      break;
    }
  }
  return next;
}

}  // namespace hemlockpoint
