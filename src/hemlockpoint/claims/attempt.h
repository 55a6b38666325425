#ifndef HEMLOCKPOINT_CLAIMS_ATTEMPT_H_
#define HEMLOCKPOINT_CLAIMS_ATTEMPT_H_

#include <map>

#include "hemlockpoint/wire/claim_messages.h"

namespace hemlockpoint {

/// @brief One claimant's attempt to claim a key from a majority of a service's
/// claim replicas.
struct ClaimAttempt {
  /// Epoch of the replica set that was asked.
  std::uint64_t m_epoch = 0;
  /// Number of replicas in that set.
  std::size_t m_replicas = 0;
  /// Last reply of each replica.
  std::map<NodeId, ClaimReply> m_replies;
};

enum class ClaimAttemptState {
  /// The replies still missing may complete a majority.
  kPending,
  /// A majority granted the key in the attempt's epoch.
  kAcquired,
  /// Another call holds the key.
  kHeld,
  /// No majority can grant the key at present, and no holder is known.
  kUnavailable,
};

/// @brief Adds a reply in place of an earlier one of the same replica. A grant
/// in another epoch than the attempt's does not count.
void RecordReply(ClaimAttempt& attempt, const ClaimReply& reply);

/// @return The state of the attempt according to the replies so far. A grant
/// counts only if no reply knows a later incarnation of the replica that gave
/// it.
[[nodiscard]] ClaimAttemptState EvaluateAttempt(const ClaimAttempt& attempt);

/// @return The reply that knows most about the outcome of the call which holds
/// the key: kAnswered before kUnknown before kRunning. Null when no reply names
/// a holder.
[[nodiscard]] const ClaimReply* FindHolderReply(const ClaimAttempt& attempt);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CLAIMS_ATTEMPT_H_
