#include "hemlockpoint/claims/replica.h"

#include <algorithm>
#include <utility>

namespace hemlockpoint {

namespace {

bool Contains(const std::vector<NodeId>& nodes, const NodeId& node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

const ClaimMember* FindMember(const ClaimSet& set, const NodeId& node) {
  for (const ClaimMember& member : set.m_members) {
    if (member.m_node == node) {
      return &member;
    }
  }
  return nullptr;
}

std::vector<NodeId> Others(const ClaimSet& set, const NodeId& self) {
  std::vector<NodeId> others;
  for (const ClaimMember& member : set.m_members) {
    if (member.m_node != self) {
      others.push_back(member.m_node);
    }
  }
  return others;
}

// A majority of the set's replicas must be copied. The asker itself held one
// place of the set, or has taken the place of one that is gone, so the sources
// are the others and the majority counts over the whole set.
void PlanSync(ClaimReplica& replica) {
  replica.m_sync_sources = Others(replica.m_set, replica.m_self.m_node);
  replica.m_sync_quorum = MajorityOf(replica.m_set.m_members.size());
  replica.m_copied.clear();
  replica.m_cursors.clear();
}

void LearnLife(ClaimReplica& replica, const ReplicaLife& life) {
  std::uint64_t& known = replica.m_known[life.m_node];
  known = std::max(known, life.m_incarnation);
}

void KeepAnswer(ClaimReplica& replica,
                HeldClaim& claim,
                const std::string& answer) {
  if (answer.size() > kMaxKeptAnswerBytes ||
      replica.m_kept_bytes + answer.size() > kMaxKeptBytes) {
    return;
  }
  replica.m_kept_bytes += answer.size() - claim.m_answer.size();
  claim.m_answer = answer;
}

ClaimReply ReplyTo(const ClaimReplica& replica, const ClaimRequest& request) {
  ClaimReply reply;
  reply.m_number = request.m_number;
  reply.m_epoch = replica.m_set.m_epoch;
  reply.m_replica = replica.m_self;
  for (const auto& [node, incarnation] : replica.m_known) {
    reply.m_known.push_back({node, incarnation});
  }
  return reply;
}

void DescribeHolder(const HeldClaim& claim, ClaimReply& reply) {
  reply.m_verdict = ClaimVerdict::kHeld;
  reply.m_holder = claim.m_claimant;
  reply.m_phase = claim.m_phase;
  reply.m_fingerprint = claim.m_fingerprint;
  reply.m_answer.m_data = claim.m_answer;
}

void Erase(ClaimReplica& replica,
           std::map<std::string, HeldClaim>::iterator claim) {
  replica.m_kept_bytes -= claim->second.m_answer.size();
  replica.m_claims.erase(claim);
}

void Claim(ClaimReplica& replica,
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
      DescribeHolder(found->second, reply);
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
    Erase(replica, found);
  }
  HeldClaim claim;
  claim.m_claimant = request.m_claimant;
  claim.m_fingerprint = request.m_fingerprint;
  claim.m_expires = now + kClaimRetention;
  replica.m_claims.emplace(request.m_key, std::move(claim));
  reply.m_verdict = ClaimVerdict::kGranted;
}

// Ends a claim that this replica may not have granted itself: the claimant
// holds a majority of grants without it.
void End(ClaimReplica& replica, const ClaimRequest& request, Millis now) {
  const auto found = replica.m_claims.find(request.m_key);
  const bool holds = found != replica.m_claims.end() &&
                     found->second.m_claimant == request.m_claimant;
  if (request.m_step == ClaimStep::kRelease) {
    if (holds) {
      Erase(replica, found);
    }
    return;
  }
  if (found != replica.m_claims.end() && !holds) {
    return;
  }
  HeldClaim& claim = replica.m_claims[request.m_key];
  if (!holds) {
    claim.m_claimant = request.m_claimant;
    claim.m_fingerprint = request.m_fingerprint;
    claim.m_expires = now + kClaimRetention;
  }
  const bool answered = request.m_step == ClaimStep::kComplete;
  claim.m_phase = answered ? ClaimPhase::kAnswered : ClaimPhase::kUnknown;
  if (answered) {
    KeepAnswer(replica, claim, request.m_answer.m_data);
  }
}

ClaimRow RowOf(const std::string& key, const HeldClaim& claim, Millis now) {
  ClaimRow row;
  row.m_key = key;
  row.m_claimant = claim.m_claimant;
  row.m_fingerprint = claim.m_fingerprint;
  row.m_phase = claim.m_phase;
  row.m_answer.m_data = claim.m_answer;
  row.m_time_left = claim.m_expires - now;
  return row;
}

void TakeRow(ClaimReplica& replica, const ClaimRow& row, Millis now) {
  const auto found = replica.m_claims.find(row.m_key);
  // Two sources may name different claimants, of which one at most holds a
  // majority. Keeping either blocks the key, which is safe.
  if (found != replica.m_claims.end() &&
      found->second.m_phase != ClaimPhase::kRunning) {
    return;
  }
  HeldClaim& claim = replica.m_claims[row.m_key];
  claim.m_claimant = row.m_claimant;
  claim.m_fingerprint = row.m_fingerprint;
  claim.m_phase = row.m_phase;
  claim.m_expires = Max(claim.m_expires, now + row.m_time_left);
  KeepAnswer(replica, claim, row.m_answer.m_data);
}

}  // namespace

std::size_t MajorityOf(std::size_t replicas) {
  return replicas / 2 + 1;
}

ClaimReplica StartReplica(const ReplicaLife& self,
                          const ClaimSet& set,
                          Millis now) {
  ClaimReplica replica;
  replica.m_self = self;
  replica.m_set = set;
  replica.m_started = now;
  const ClaimMember* member = FindMember(set, self.m_node);
  replica.m_valid = member != nullptr && !set.m_fresh &&
                    member->m_founder == self.m_incarnation;
  PlanSync(replica);
  return replica;
}

void AdoptSet(ClaimReplica& replica, const ClaimSet& set, Millis now) {
  if (set.m_epoch <= replica.m_set.m_epoch) {
    return;
  }
  const std::uint64_t former_epoch = replica.m_set.m_epoch;
  replica.m_set = set;
  const ClaimMember* member = FindMember(set, replica.m_self.m_node);
  // One that was out of the set for a while has missed claims.
  const bool rejoined = member == nullptr || member->m_joined > former_epoch;
  if (set.m_fresh || rejoined) {
    replica.m_valid = false;
    replica.m_started = now;
  }
  if (!replica.m_valid) {
    PlanSync(replica);
  }
}

ClaimReply HandleClaim(ClaimReplica& replica,
                       const ClaimRequest& request,
                       Millis now) {
  ClaimReply reply = ReplyTo(replica, request);
  if (request.m_step != ClaimStep::kClaim) {
    End(replica, request, now);
    reply.m_verdict = ClaimVerdict::kGranted;
    return reply;
  }
  if (request.m_epoch != replica.m_set.m_epoch) {
    reply.m_verdict = ClaimVerdict::kOldEpoch;
    return reply;
  }
  Claim(replica, request, reply, now);
  return reply;
}

ClaimSyncReply HandleSync(ClaimReplica& replica,
                          const ClaimSync& request,
                          Millis now) {
  ClaimSyncReply reply;
  reply.m_service = request.m_service;
  reply.m_epoch = replica.m_set.m_epoch;
  reply.m_replica = replica.m_self;
  // A source must have moved to the asker's epoch, so that it grants no more
  // in an earlier one after its rows were read.
  reply.m_valid =
      replica.m_valid && replica.m_set.m_epoch == request.m_epoch &&
      FindMember(replica.m_set, request.m_replica.m_node) != nullptr;
  if (!reply.m_valid) {
    return reply;
  }
  LearnLife(replica, request.m_replica);
  auto row = replica.m_claims.upper_bound(request.m_after);
  while (row != replica.m_claims.end() && reply.m_rows.size() < kMaxSyncRows) {
    reply.m_rows.push_back(RowOf(row->first, row->second, now));
    ++row;
  }
  reply.m_more = row != replica.m_claims.end();
  return reply;
}

std::vector<std::pair<NodeId, ClaimSync>> NextSyncs(
    const ClaimReplica& replica) {
  std::vector<std::pair<NodeId, ClaimSync>> syncs;
  if (replica.m_valid || replica.m_set.m_fresh) {
    return syncs;
  }
  for (const NodeId& source : replica.m_sync_sources) {
    if (replica.m_copied.count(source) != 0) {
      continue;
    }
    ClaimSync sync;
    sync.m_service = replica.m_set.m_service;
    sync.m_epoch = replica.m_set.m_epoch;
    sync.m_replica = replica.m_self;
    const auto cursor = replica.m_cursors.find(source);
    if (cursor != replica.m_cursors.end()) {
      sync.m_after = cursor->second;
    }
    syncs.emplace_back(source, std::move(sync));
  }
  return syncs;
}

bool ApplySync(ClaimReplica& replica, const ClaimSyncReply& reply, Millis now) {
  const NodeId& source = reply.m_replica.m_node;
  const bool expected = !replica.m_valid && reply.m_valid &&
                        reply.m_epoch == replica.m_set.m_epoch &&
                        Contains(replica.m_sync_sources, source) &&
                        replica.m_copied.count(source) == 0;
  if (!expected) {
    return false;
  }
  // A source that lost its memory in between must be copied from the start.
  std::uint64_t& known = replica.m_known[source];
  const bool new_life = known != 0 && known != reply.m_replica.m_incarnation;
  known = std::max(known, reply.m_replica.m_incarnation);
  if (new_life && replica.m_cursors.count(source) != 0) {
    replica.m_cursors.erase(source);
    return true;
  }
  for (const ClaimRow& row : reply.m_rows) {
    TakeRow(replica, row, now);
  }
  if (reply.m_more) {
    replica.m_cursors[source] = reply.m_rows.back().m_key;
    return true;
  }
  replica.m_copied.insert(source);
  replica.m_valid = replica.m_copied.size() >= replica.m_sync_quorum;
  return false;
}

void AdvanceReplica(ClaimReplica& replica, Millis now) {
  if (!replica.m_valid && now - replica.m_started > kClaimRetention) {
    replica.m_valid = true;
  }
  auto claim = replica.m_claims.begin();
  while (claim != replica.m_claims.end()) {
    const auto next = std::next(claim);
    if (claim->second.m_expires <= now) {
      Erase(replica, claim);
    }
    claim = next;
  }
}

}  // namespace hemlockpoint
