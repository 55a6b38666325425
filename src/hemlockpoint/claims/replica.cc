#include "hemlockpoint/claims/replica.h"

#include <algorithm>
#include <utility>

namespace hemlockpoint {

namespace {

bool Contains(const std::vector<NodeId>& nodes, const NodeId& node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

const ClaimReplicaInfo* FindMember(const ClaimReplicaSet& set,
                                   const NodeId& node) {
  for (const ClaimReplicaInfo& member : set.m_members) {
    if (member.m_node == node) {
      return &member;
    }
  }
  return nullptr;
}

std::vector<NodeId> OtherMembers(const ClaimReplicaSet& set,
                                 const NodeId& self) {
  std::vector<NodeId> others;
  for (const ClaimReplicaInfo& member : set.m_members) {
    if (member.m_node != self) {
      others.push_back(member.m_node);
    }
  }
  return others;
}

// The claims of a majority of the whole set must be copied. This replica is
// itself a member of the set, either restarted or as the replacement of a lost
// one, and can't count towards that majority.
void RestartSync(ClaimReplica& replica) {
  replica.m_sync_sources = OtherMembers(replica.m_set, replica.m_self.m_node);
  replica.m_sync_quorum = MajoritySize(replica.m_set.m_members.size());
  replica.m_synced_sources.clear();
  replica.m_sync_cursors.clear();
}

void RecordIncarnation(ClaimReplica& replica,
                       const ReplicaIncarnation& incarnation) {
  std::uint64_t& known_incarnation =
      replica.m_known_incarnations[incarnation.m_node];
  known_incarnation = std::max(known_incarnation, incarnation.m_incarnation);
}

void StoreResponse(ClaimReplica& replica,
                   ClaimRecord& claim,
                   const std::string& response) {
  if (response.size() > kMaxStoredResponseBytes ||
      replica.m_total_response_bytes + response.size() >
          kMaxTotalResponseBytes) {
    return;
  }
  replica.m_total_response_bytes += response.size() - claim.m_response.size();
  claim.m_response = response;
}

ClaimReply MakeClaimReply(const ClaimReplica& replica,
                          const ClaimRequest& request) {
  ClaimReply reply;
  reply.m_number = request.m_number;
  reply.m_epoch = replica.m_set.m_epoch;
  reply.m_replica = replica.m_self;
  for (const auto& [node, incarnation] : replica.m_known_incarnations) {
    reply.m_known.push_back({node, incarnation});
  }
  return reply;
}

void FillHolder(const ClaimRecord& claim, ClaimReply& reply) {
  reply.m_verdict = ClaimVerdict::kHeld;
  reply.m_holder = claim.m_claimant;
  reply.m_phase = claim.m_phase;
  reply.m_fingerprint = claim.m_fingerprint;
  reply.m_response.m_data = claim.m_response;
}

void EraseClaim(ClaimReplica& replica,
                std::map<std::string, ClaimRecord>::iterator claim) {
  replica.m_total_response_bytes -= claim->second.m_response.size();
  replica.m_claims.erase(claim);
}

void TryGrantClaim(ClaimReplica& replica,
                   const ClaimRequest& request,
                   ClaimReply& reply,
                   Millis now) {
  const auto found = replica.m_claims.find(request.m_key);
  const bool expired =
      found != replica.m_claims.end() && found->second.m_expires <= now;
  if (found != replica.m_claims.end() && !expired) {
    if (found->second.m_claimant == request.m_claimant) {
      reply.m_verdict =
          replica.m_valid ? ClaimVerdict::kGranted : ClaimVerdict::kAbstain;
    } else {
      FillHolder(found->second, reply);
    }
    return;
  }
  if (!replica.m_valid) {
    reply.m_verdict = ClaimVerdict::kAbstain;
    return;
  }
  if (!expired && replica.m_claims.size() >= kMaxClaims) {
    reply.m_verdict = ClaimVerdict::kFull;
    return;
  }
  if (expired) {
    EraseClaim(replica, found);
  }
  ClaimRecord claim;
  claim.m_claimant = request.m_claimant;
  claim.m_fingerprint = request.m_fingerprint;
  claim.m_expires = now + kClaimRetention;
  replica.m_claims.emplace(request.m_key, std::move(claim));
  reply.m_verdict = ClaimVerdict::kGranted;
}

// Ends a claim. This replica need not have granted it: the claimant may have
// the grants of a majority without this replica.
void EndClaim(ClaimReplica& replica, const ClaimRequest& request, Millis now) {
  const auto found = replica.m_claims.find(request.m_key);
  const bool is_held_by_requester =
      found != replica.m_claims.end() &&
      found->second.m_claimant == request.m_claimant;
  if (request.m_step == ClaimStep::kRelease) {
    if (is_held_by_requester) {
      EraseClaim(replica, found);
    }
    return;
  }
  if (found != replica.m_claims.end() && !is_held_by_requester) {
    return;
  }
  ClaimRecord& claim = replica.m_claims[request.m_key];
  if (!is_held_by_requester) {
    claim.m_claimant = request.m_claimant;
    claim.m_fingerprint = request.m_fingerprint;
    claim.m_expires = now + kClaimRetention;
  }
  const bool answered = request.m_step == ClaimStep::kComplete;
  claim.m_phase = answered ? ClaimPhase::kAnswered : ClaimPhase::kUnknown;
  if (answered) {
    StoreResponse(replica, claim, request.m_response.m_data);
  }
}

ClaimRow MakeRow(const std::string& key, const ClaimRecord& claim, Millis now) {
  ClaimRow row;
  row.m_key = key;
  row.m_claimant = claim.m_claimant;
  row.m_fingerprint = claim.m_fingerprint;
  row.m_phase = claim.m_phase;
  row.m_response.m_data = claim.m_response;
  row.m_time_left = claim.m_expires - now;
  return row;
}

void MergeRow(ClaimReplica& replica, const ClaimRow& row, Millis now) {
  const auto found = replica.m_claims.find(row.m_key);
  // Two sources may report different claimants, of which at most one has a
  // majority. Keeping either of them blocks the key, which is safe. An ended
  // claim is not overwritten.
  if (found != replica.m_claims.end() &&
      found->second.m_phase != ClaimPhase::kRunning) {
    return;
  }
  ClaimRecord& claim = replica.m_claims[row.m_key];
  claim.m_claimant = row.m_claimant;
  claim.m_fingerprint = row.m_fingerprint;
  claim.m_phase = row.m_phase;
  claim.m_expires = Max(claim.m_expires, now + row.m_time_left);
  StoreResponse(replica, claim, row.m_response.m_data);
}

}  // namespace

std::size_t MajoritySize(std::size_t replicas) {
  return replicas / 2 + 1;
}

ClaimReplica StartReplica(const ReplicaIncarnation& self,
                          const ClaimReplicaSet& set,
                          Millis now) {
  ClaimReplica replica;
  replica.m_self = self;
  replica.m_set = set;
  replica.m_abstaining_since = now;
  const ClaimReplicaInfo* member = FindMember(set, self.m_node);
  replica.m_valid = member != nullptr && !set.m_previous_majority_lost &&
                    member->m_founding_incarnation == self.m_incarnation;
  RestartSync(replica);
  return replica;
}

void AdoptClaimSet(ClaimReplica& replica,
                   const ClaimReplicaSet& set,
                   Millis now) {
  if (set.m_epoch <= replica.m_set.m_epoch) {
    return;
  }
  const std::uint64_t previous_epoch = replica.m_set.m_epoch;
  replica.m_set = set;
  const ClaimReplicaInfo* member = FindMember(set, replica.m_self.m_node);
  // A replica that was out of the set for some epochs has missed claims.
  const bool rejoined =
      member == nullptr || member->m_joined_epoch > previous_epoch;
  if (set.m_previous_majority_lost || rejoined) {
    replica.m_valid = false;
    replica.m_abstaining_since = now;
  }
  if (!replica.m_valid) {
    RestartSync(replica);
  }
}

ClaimReply HandleClaim(ClaimReplica& replica,
                       const ClaimRequest& request,
                       Millis now) {
  ClaimReply reply = MakeClaimReply(replica, request);
  if (request.m_step != ClaimStep::kClaim) {
    EndClaim(replica, request, now);
    reply.m_verdict = ClaimVerdict::kGranted;
    return reply;
  }
  if (request.m_epoch != replica.m_set.m_epoch) {
    reply.m_verdict = ClaimVerdict::kStaleEpoch;
    return reply;
  }
  TryGrantClaim(replica, request, reply, now);
  return reply;
}

ClaimSyncReply HandleSyncRequest(ClaimReplica& replica,
                                 const ClaimSyncRequest& request,
                                 Millis now) {
  ClaimSyncReply reply;
  reply.m_service = request.m_service;
  reply.m_epoch = replica.m_set.m_epoch;
  reply.m_replica = replica.m_self;
  // A source must be in the requester's epoch already. Otherwise it could still
  // grant claims in an earlier epoch after its rows were copied.
  reply.m_valid =
      replica.m_valid && replica.m_set.m_epoch == request.m_epoch &&
      FindMember(replica.m_set, request.m_replica.m_node) != nullptr;
  if (!reply.m_valid) {
    return reply;
  }
  RecordIncarnation(replica, request.m_replica);
  auto row = replica.m_claims.upper_bound(request.m_after_key);
  while (row != replica.m_claims.end() && reply.m_rows.size() < kMaxSyncRows) {
    reply.m_rows.push_back(MakeRow(row->first, row->second, now));
    ++row;
  }
  reply.m_has_more = row != replica.m_claims.end();
  return reply;
}

std::vector<std::pair<NodeId, ClaimSyncRequest>> PendingSyncRequests(
    const ClaimReplica& replica) {
  std::vector<std::pair<NodeId, ClaimSyncRequest>> syncs;
  if (replica.m_valid || replica.m_set.m_previous_majority_lost) {
    return syncs;
  }
  for (const NodeId& source : replica.m_sync_sources) {
    if (replica.m_synced_sources.count(source) != 0) {
      continue;
    }
    ClaimSyncRequest sync;
    sync.m_service = replica.m_set.m_service;
    sync.m_epoch = replica.m_set.m_epoch;
    sync.m_replica = replica.m_self;
    const auto cursor = replica.m_sync_cursors.find(source);
    if (cursor != replica.m_sync_cursors.end()) {
      sync.m_after_key = cursor->second;
    }
    syncs.emplace_back(source, std::move(sync));
  }
  return syncs;
}

bool ApplySyncReply(ClaimReplica& replica,
                    const ClaimSyncReply& reply,
                    Millis now) {
  const NodeId& source = reply.m_replica.m_node;
  const bool expected = !replica.m_valid && reply.m_valid &&
                        reply.m_epoch == replica.m_set.m_epoch &&
                        Contains(replica.m_sync_sources, source) &&
                        replica.m_synced_sources.count(source) == 0;
  if (!expected) {
    return false;
  }
  // A source that restarted since its first rows were copied must be copied
  // again from the beginning.
  std::uint64_t& known_incarnation = replica.m_known_incarnations[source];
  const bool has_restarted = known_incarnation != 0 &&
                             known_incarnation != reply.m_replica.m_incarnation;
  known_incarnation =
      std::max(known_incarnation, reply.m_replica.m_incarnation);
  if (has_restarted && replica.m_sync_cursors.count(source) != 0) {
    replica.m_sync_cursors.erase(source);
    return true;
  }
  for (const ClaimRow& row : reply.m_rows) {
    MergeRow(replica, row, now);
  }
  if (reply.m_has_more) {
    replica.m_sync_cursors[source] = reply.m_rows.back().m_key;
    return true;
  }
  replica.m_synced_sources.insert(source);
  replica.m_valid = replica.m_synced_sources.size() >= replica.m_sync_quorum;
  return false;
}

void TickReplica(ClaimReplica& replica, Millis now) {
  if (!replica.m_valid && now - replica.m_abstaining_since > kClaimRetention) {
    replica.m_valid = true;
  }
  auto claim = replica.m_claims.begin();
  while (claim != replica.m_claims.end()) {
    const auto next = std::next(claim);
    if (claim->second.m_expires <= now) {
      EraseClaim(replica, claim);
    }
    claim = next;
  }
}

}  // namespace hemlockpoint
