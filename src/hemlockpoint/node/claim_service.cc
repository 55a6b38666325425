#include "hemlockpoint/node/claim_service.h"

#include <utility>

#include "hemlockpoint/log/log.h"

namespace hemlockpoint {

namespace {

constexpr Millis kReplyTimeout(400);
constexpr Millis kAcquireRetryDelay(30);
constexpr int kMaxEndSends = 20;
// Maximum number of ended calls whose end is being reported to the replicas.
// The end of any further call is not reported, so its key stays held until the
// claim expires.
constexpr std::size_t kMaxOpenEndNotices = 4096;

const ClaimReplicaInfo* FindReplica(const ClaimReplicaSet& set,
                                    const NodeId& node) {
  for (const ClaimReplicaInfo& member : set.m_members) {
    if (member.m_node == node) {
      return &member;
    }
  }
  return nullptr;
}

}  // namespace

ClaimService::ClaimService(NodeContext& context) : m_context(context) {}

void ClaimService::Handle(const ClaimReplicaSets& sets) {
  const Millis now = SteadyNow();
  const ReplicaIncarnation self{m_context.m_settings.m_node,
                                m_context.m_incarnation};
  for (const ClaimReplicaSet& set : sets.m_sets) {
    ClaimReplicaSet& current = m_sets[set.m_service];
    if (set.m_epoch <= current.m_epoch) {
      continue;
    }
    current = set;
    if (FindReplica(set, self.m_node) == nullptr) {
      m_replicas.erase(set.m_service);
      continue;
    }
    const auto replica = m_replicas.find(set.m_service);
    if (replica == m_replicas.end()) {
      m_replicas.emplace(set.m_service, StartReplica(self, set, now));
    } else {
      AdoptClaimSet(replica->second, set, now);
    }
  }
}

void ClaimService::Handle(LinkId link, const ClaimRequest& request) {
  const auto replica = m_replicas.find(request.m_service);
  ClaimReply reply;
  if (replica == m_replicas.end()) {
    reply.m_number = request.m_number;
    reply.m_replica = {m_context.m_settings.m_node, m_context.m_incarnation};
  } else {
    reply = HandleClaim(replica->second, request, SteadyNow());
  }
  m_context.m_links->Send(link, reply);
}

void ClaimService::Handle(const ClaimReply& reply) {
  const auto pending = m_pending.find(reply.m_number);
  if (pending != m_pending.end()) {
    RecordReply(pending->second->m_attempt, reply);
    pending->second->m_changed.Notify();
  }
}

void ClaimService::Handle(LinkId link, const ClaimSyncRequest& sync) {
  const auto replica = m_replicas.find(sync.m_service);
  if (replica != m_replicas.end()) {
    m_context.m_links->Send(
        link, HandleSyncRequest(replica->second, sync, SteadyNow()));
  }
}

void ClaimService::Handle(const ClaimSyncReply& reply) {
  const auto replica = m_replicas.find(reply.m_service);
  if (replica == m_replicas.end()) {
    return;
  }
  if (ApplySyncReply(replica->second, reply, SteadyNow())) {
    SendSyncs(replica->second);
  }
  if (replica->second.m_valid) {
    LogLine(LogLevel::kInfo, "claims_copied")
        .With("service", reply.m_service.value())
        .With("claims",
              static_cast<std::uint64_t>(replica->second.m_claims.size()));
  }
}

void ClaimService::SendSyncs(const ClaimReplica& replica) {
  for (const auto& [source, sync] : PendingSyncRequests(replica)) {
    const ClaimReplicaInfo* member = FindReplica(replica.m_set, source);
    const auto endpoint =
        ParseEndpoint(member == nullptr ? "" : member->m_peer);
    if (endpoint) {
      m_context.m_links->SendTo(*endpoint, sync);
    }
  }
}

void ClaimService::Tick() {
  for (auto& [service, replica] : m_replicas) {
    TickReplica(replica, SteadyNow());
    SendSyncs(replica);
  }
}

void ClaimService::SendToReplicas(const ClaimReplicaSet& set,
                                  const ClaimRequest& request,
                                  const ClaimAttempt& attempt) {
  for (const ClaimReplicaInfo& member : set.m_members) {
    if (attempt.m_replies.count(member.m_node) != 0) {
      continue;
    }
    const auto own_replica = m_replicas.find(request.m_service);
    const bool is_self = member.m_node == m_context.m_settings.m_node;
    if (is_self && own_replica != m_replicas.end()) {
      Handle(HandleClaim(own_replica->second, request, SteadyNow()));
    } else if (const auto endpoint = ParseEndpoint(member.m_peer)) {
      m_context.m_links->SendTo(*endpoint, request);
    }
  }
}

ClaimResult ClaimService::AttemptClaim(ClaimRequest request, Millis until) {
  const ClaimReplicaSet set = m_sets[request.m_service];
  request.m_number = ++m_last_number;
  request.m_epoch = set.m_epoch;
  PendingAttempt pending;
  pending.m_attempt.m_epoch = set.m_epoch;
  pending.m_attempt.m_replicas = set.m_members.size();
  m_pending[request.m_number] = &pending;
  SendToReplicas(set, request, pending.m_attempt);
  (void)pending.m_changed.WaitUntil(
      Min(until, SteadyNow() + kReplyTimeout), [&pending] {
        return EvaluateAttempt(pending.m_attempt) !=
               ClaimAttemptState::kPending;
      });
  m_pending.erase(request.m_number);
  ClaimResult result;
  result.m_state = EvaluateAttempt(pending.m_attempt);
  if (result.m_state == ClaimAttemptState::kPending) {
    result.m_state = FindHolderReply(pending.m_attempt) != nullptr
                         ? ClaimAttemptState::kHeld
                         : ClaimAttemptState::kUnavailable;
  }
  if (const ClaimReply* holder = FindHolderReply(pending.m_attempt)) {
    result.m_holder = *holder;
  }
  return result;
}

ClaimResult ClaimService::Acquire(const ServiceName& service,
                                  const std::string& key,
                                  const Claimant& claimant,
                                  Fingerprint fingerprint,
                                  Millis until) {
  ClaimRequest request;
  request.m_service = service;
  request.m_key = key;
  request.m_claimant = claimant;
  request.m_fingerprint = fingerprint;
  ClaimResult result;
  while (true) {
    if (m_sets[service].m_epoch != 0) {
      result = AttemptClaim(request, until);
    }
    const bool is_decided = result.m_state != ClaimAttemptState::kUnavailable;
    if (is_decided || SteadyNow() + kAcquireRetryDelay >= until) {
      break;
    }
    SleepFor(kAcquireRetryDelay * (1 + m_context.Random()));
  }
  if (result.m_state != ClaimAttemptState::kAcquired) {
    EndClaim(ClaimStep::kRelease, service, key, claimant, fingerprint, "");
  }
  return result;
}

void ClaimService::EndClaim(ClaimStep step,
                            const ServiceName& service,
                            const std::string& key,
                            const Claimant& claimant,
                            Fingerprint fingerprint,
                            const std::string& response) {
  const ClaimReplicaSet set = m_sets[service];
  if (m_open_end_notices >= kMaxOpenEndNotices || set.m_epoch == 0) {
    return;
  }
  ClaimRequest request;
  request.m_number = ++m_last_number;
  request.m_step = step;
  request.m_service = service;
  request.m_epoch = set.m_epoch;
  request.m_key = key;
  request.m_claimant = claimant;
  request.m_fingerprint = fingerprint;
  if (response.size() <= kMaxStoredResponseBytes) {
    request.m_response.m_data = response;
  }
  ++m_open_end_notices;
  m_context.m_loop.Spawn([this, set, request] {
    PendingAttempt pending;
    pending.m_attempt.m_replicas = set.m_members.size();
    m_pending[request.m_number] = &pending;
    const auto all_replied = [&pending] {
      return pending.m_attempt.m_replies.size() >= pending.m_attempt.m_replicas;
    };
    for (int i = 0; i < kMaxEndSends && !all_replied(); ++i) {
      SendToReplicas(set, request, pending.m_attempt);
      (void)pending.m_changed.WaitUntil(SteadyNow() + kReplyTimeout,
                                        all_replied);
    }
    m_pending.erase(request.m_number);
    --m_open_end_notices;
  });
}

std::size_t ClaimService::claims() const {
  std::size_t count = 0;
  for (const auto& [service, replica] : m_replicas) {
    count += replica.m_claims.size();
  }
  return count;
}

std::size_t ClaimService::valid_replicas() const {
  std::size_t count = 0;
  for (const auto& [service, replica] : m_replicas) {
    count += replica.m_valid ? 1 : 0;
  }
  return count;
}

}  // namespace hemlockpoint
