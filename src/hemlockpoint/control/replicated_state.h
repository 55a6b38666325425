#ifndef HEMLOCKPOINT_CONTROL_REPLICATED_STATE_H_
#define HEMLOCKPOINT_CONTROL_REPLICATED_STATE_H_

#include <map>
#include <string>

#include "hemlockpoint/base/result.h"
#include "hemlockpoint/documents/document_store.h"
#include "hemlockpoint/policy/store.h"
#include "hemlockpoint/wire/claim_messages.h"
#include "hemlockpoint/wire/consensus_messages.h"

namespace hemlockpoint {

/// @brief The state that results from the committed log entries. It is the same
/// on every member.
struct ReplicatedState {
  PolicyStore m_policy;
  std::map<ServiceName, ClaimReplicaSet> m_claim_sets;
  DocumentStore m_documents;
};

/// @brief Applies one committed entry. An entry that can't be decoded is
/// ignored.
void ApplyLogEntry(ReplicatedState& state, const LogEntry& entry);

/// @return The state, encoded for a snapshot.
[[nodiscard]] std::string EncodeReplicatedState(const ReplicatedState& state);

/// @return The decoded state, or the decoding error.
[[nodiscard]] Result<ReplicatedState> DecodeReplicatedState(
    std::string_view bytes);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_REPLICATED_STATE_H_
