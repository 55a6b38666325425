#include "hemlockpoint/control/replicated_state.h"

#include <utility>

#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

namespace {

struct ReplicatedStateSnapshot {
  Bytes m_policy;
  std::vector<ClaimReplicaSet> m_claim_sets;
  Bytes m_documents;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("policy", self.m_policy);
    visit("claims", self.m_claim_sets);
    visit("documents", self.m_documents);
  }
};

void ApplyClaimSet(ReplicatedState& state, const ClaimReplicaSet& set) {
  ClaimReplicaSet& current = state.m_claim_sets[set.m_service];
  // Two leaders may have committed a set with the same epoch; only the first
  // one is applied.
  if (set.m_epoch == current.m_epoch + 1) {
    current = set;
  }
}

}  // namespace

void ApplyLogEntry(ReplicatedState& state, const LogEntry& entry) {
  const std::string& data = entry.m_data.m_data;
  if (entry.m_kind == LogEntryKind::kPolicyChange) {
    const auto change = DecodeFields<PolicyChange>(data);
    if (change) {
      (void)ApplyPolicyChange(state.m_policy, *change);
    }
  } else if (entry.m_kind == LogEntryKind::kConfig) {
    const auto config = DecodeFields<GroupConfig>(data);
    if (config) {
      state.m_policy.m_admin_token_sha256 = config->m_admin_token_sha256;
    }
  } else if (entry.m_kind == LogEntryKind::kClaimReplicaSet) {
    const auto set = DecodeFields<ClaimReplicaSet>(data);
    if (set) {
      ApplyClaimSet(state, *set);
    }
  } else if (entry.m_kind == LogEntryKind::kDocument) {
    const auto change = DecodeFields<DocumentChange>(data);
    if (change) {
      (void)ApplyDocumentChange(state.m_documents, *change);
    }
  }
}

std::string EncodeReplicatedState(const ReplicatedState& state) {
  ReplicatedStateSnapshot stored;
  stored.m_policy.m_data = EncodePolicyStore(state.m_policy);
  for (const auto& [service, set] : state.m_claim_sets) {
    stored.m_claim_sets.push_back(set);
  }
  stored.m_documents.m_data = EncodeDocumentStore(state.m_documents);
  return EncodeFields(stored);
}

Result<ReplicatedState> DecodeReplicatedState(std::string_view bytes) {
  using StateResult = Result<ReplicatedState>;
  auto stored = DecodeFields<ReplicatedStateSnapshot>(bytes);
  if (!stored) {
    return StateResult::Failure(stored.reason());
  }
  auto policy = DecodePolicyStore(stored->m_policy.m_data);
  if (!policy) {
    return StateResult::Failure(policy.reason());
  }
  auto documents = DecodeDocumentStore(stored->m_documents.m_data);
  if (!documents) {
    return StateResult::Failure(documents.reason());
  }
  ReplicatedState state;
  state.m_documents = std::move(*documents);
  state.m_policy = std::move(*policy);
  for (ClaimReplicaSet& set : stored->m_claim_sets) {
    const ServiceName service = set.m_service;
    state.m_claim_sets[service] = std::move(set);
  }
  return state;
}

}  // namespace hemlockpoint
