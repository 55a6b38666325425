#ifndef HEMLOCKPOINT_CLAIMS_REPLICA_H_
#define HEMLOCKPOINT_CLAIMS_REPLICA_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/wire/claim_messages.h"

namespace hemlockpoint {

/// @brief How long a claim is kept. A request that is resent with the same
/// idempotency key after this time is executed again.
inline constexpr Millis kClaimRetention(600'000);
/// @brief Maximum number of claims of one service at one replica. Further
/// claims are rejected with kFull.
inline constexpr std::size_t kMaxClaims = 100'000;
/// @brief Maximum size of a response that is stored with its claim.
inline constexpr std::size_t kMaxStoredResponseBytes = std::size_t{8} * 1024;
/// @brief Maximum total size of the responses stored at one replica. Beyond it
/// claims are stored without their response.
inline constexpr std::size_t kMaxTotalResponseBytes =
    std::size_t{24} * 1024 * 1024;
/// @brief Maximum number of rows in one sync reply.
inline constexpr std::size_t kMaxSyncRows = 64;

/// @brief What a replica stores about one claimed key.
struct ClaimRecord {
  Claimant m_claimant;
  Fingerprint m_fingerprint;
  ClaimPhase m_phase = ClaimPhase::kRunning;
  std::string m_response;
  Millis m_expires;
};

/// @brief One service's claims at one of its replicas.
///
/// The hosts of replicas have no disk, so claims are stored in memory only. A
/// new incarnation abstains until it has copied the claims of a majority of the
/// set, or until every claim of its earlier incarnations has expired.
/// docs/design/at-most-once.md explains why two claimants never both get a
/// majority.
struct ClaimReplica {
  ReplicaIncarnation m_self;
  /// Newest known set of replicas.
  ClaimReplicaSet m_set;
  /// Time of the start, or of the last change of the set that made this replica
  /// abstain.
  Millis m_abstaining_since;
  /// Whether this replica knows every unexpired claim that it has granted. It
  /// abstains while it doesn't.
  bool m_valid = false;
  /// Claims by idempotency key.
  std::map<std::string, ClaimRecord> m_claims;
  std::size_t m_total_response_bytes = 0;
  /// Newest known incarnation of each other replica.
  std::map<NodeId, std::uint64_t> m_known_incarnations;
  /// Replicas to copy claims from: all others of the set.
  std::vector<NodeId> m_sync_sources;
  /// Number of sources to copy from before this replica is valid.
  std::size_t m_sync_quorum = 0;
  /// Sources that have been copied completely in this epoch.
  std::set<NodeId> m_synced_sources;
  /// Last key copied from each source that is not yet copied completely.
  std::map<NodeId, std::string> m_sync_cursors;
};

/// @return Size of the smallest majority of a number of replicas.
[[nodiscard]] std::size_t MajoritySize(std::size_t replicas);

/// @brief Makes this node a replica of a service's claims. The replica has no
/// claims yet. It is valid at once if this incarnation of the node is one of
/// the service's first replicas, and abstains otherwise.
[[nodiscard]] ClaimReplica StartReplica(const ReplicaIncarnation& self,
                                        const ClaimReplicaSet& set,
                                        Millis now);

/// @brief Switches to a newer set of replicas. A set that is not newer is
/// ignored.
void AdoptClaimSet(ClaimReplica& replica,
                   const ClaimReplicaSet& set,
                   Millis now);

/// @brief Handles one step of a claim.
[[nodiscard]] ClaimReply HandleClaim(ClaimReplica& replica,
                                     const ClaimRequest& request,
                                     Millis now);

/// @brief Returns the next rows to a replica that copies claims. The reply is
/// valid only if this replica is in the requester's epoch and thus rejects
/// claims of earlier epochs. The requester's incarnation is recorded, so that
/// later claim replies invalidate grants of its earlier incarnations.
[[nodiscard]] ClaimSyncReply HandleSyncRequest(ClaimReplica& replica,
                                               const ClaimSyncRequest& request,
                                               Millis now);

/// @return The next sync request for each source that is not yet copied
/// completely. Empty when this replica is valid, or when the majority of the
/// previous set is lost and there is nothing to copy from.
[[nodiscard]] std::vector<std::pair<NodeId, ClaimSyncRequest>>
PendingSyncRequests(const ClaimReplica& replica);

/// @brief Merges copied rows into the claims. An unexpected reply is ignored.
/// @return Whether the next request should be sent to the same source at once.
bool ApplySyncReply(ClaimReplica& replica,
                    const ClaimSyncReply& reply,
                    Millis now);

/// @brief Removes expired claims, and makes the replica valid once it has
/// abstained for one retention period.
void TickReplica(ClaimReplica& replica, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CLAIMS_REPLICA_H_
