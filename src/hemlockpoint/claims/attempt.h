#ifndef HEMLOCKPOINT_CLAIMS_ATTEMPT_H_
#define HEMLOCKPOINT_CLAIMS_ATTEMPT_H_

#include <map>

#include "hemlockpoint/wire/claim_messages.h"

namespace hemlockpoint {

/// @brief One claimant's request for a key, as its replies come in.
struct ClaimAttempt {
  std::uint64_t m_epoch = 0;
  std::size_t m_replicas = 0;
  std::map<NodeId, ClaimReply> m_replies;
};

enum class ClaimAttemptState {
  kPending,
  /// A majority granted the key in the same epoch.
  kAcquired,
  /// Another call holds the key.
  kHeld,
  /// No majority can be had at present.
  kUnavailable,
};

/// @brief Adds a reply; one of another epoch than the attempt's counts as no
/// grant.
void RecordReply(ClaimAttempt& attempt, const ClaimReply& reply);

/// @return How far the attempt is. A grant counts only while no other reply
/// knows a later life of the replica that gave it.
[[nodiscard]] ClaimAttemptState EvaluateAttempt(const ClaimAttempt& attempt);

/// @return The reply that says most about the call which holds the key;
/// nothing when none does.
[[nodiscard]] const ClaimReply* FindHolderReply(const ClaimAttempt& attempt);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CLAIMS_ATTEMPT_H_
