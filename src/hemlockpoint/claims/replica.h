#ifndef HEMLOCKPOINT_CLAIMS_REPLICA_H_
#define HEMLOCKPOINT_CLAIMS_REPLICA_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/wire/claim_messages.h"

namespace hemlockpoint {

/// @brief How long a claim is kept. A resend after this time runs again.
inline constexpr Millis kClaimRetention(600'000);
/// @brief Claims of one service at one replica at most; more are refused.
inline constexpr std::size_t kMaxClaims = 100'000;
/// @brief Longest answer that replicas keep.
inline constexpr std::size_t kMaxStoredResponseBytes = std::size_t{8} * 1024;
/// @brief Bytes of kept answers at one replica; beyond it claims are kept
/// without their answer.
inline constexpr std::size_t kMaxTotalResponseBytes =
    std::size_t{24} * 1024 * 1024;
/// @brief Rows of one sync message at most.
inline constexpr std::size_t kMaxSyncRows = 64;

struct ClaimRecord {
  Claimant m_claimant;
  Fingerprint m_fingerprint;
  ClaimPhase m_phase = ClaimPhase::kRunning;
  std::string m_answer;
  Millis m_expires;
};

/// @brief One service's claims at one of its replicas.
///
/// The replicas' host has no disk, so a new life starts without memory and
/// abstains until it has copied from a majority of the set, or until every
/// claim of its former life has expired. docs/design/at-most-once.md has the
/// argument for why no two claimants ever get a majority.
struct ClaimReplica {
  ReplicaLife m_self;
  ClaimSet m_set;
  Millis m_started;
  /// Whether this replica knows every unexpired claim that it has granted.
  bool m_valid = false;
  std::map<std::string, ClaimRecord> m_claims;
  std::size_t m_total_response_bytes = 0;
  /// Newest life heard of each other replica.
  std::map<NodeId, std::uint64_t> m_known;
  /// Replicas of the set before, from which a newcomer copies.
  std::vector<NodeId> m_sync_sources;
  std::size_t m_sync_quorum = 0;
  /// Sources that have been copied whole, in this epoch.
  std::set<NodeId> m_synced_sources;
  /// Last key copied from each source.
  std::map<NodeId, std::string> m_sync_cursors;
};

/// @return The smallest majority of a number of replicas.
[[nodiscard]] std::size_t MajoritySize(std::size_t replicas);

/// @brief Makes this node a replica for the first time in its life.
[[nodiscard]] ClaimReplica StartReplica(const ReplicaLife& self,
                                        const ClaimSet& set,
                                        Millis now);

/// @brief Takes a newer set of replicas; an older one is ignored.
void AdoptClaimSet(ClaimReplica& replica, const ClaimSet& set, Millis now);

/// @brief Serves one step of a claim.
[[nodiscard]] ClaimReply HandleClaim(ClaimReplica& replica,
                                     const ClaimRequest& request,
                                     Millis now);

/// @brief Serves a replica that copies. From then on claims of earlier epochs
/// and grants of the asker's earlier lives count no more.
[[nodiscard]] ClaimSyncReply HandleSyncRequest(ClaimReplica& replica,
                                               const ClaimSync& request,
                                               Millis now);

/// @return What to ask of which source next; empty while nothing is missing.
[[nodiscard]] std::vector<std::pair<NodeId, ClaimSync>> PendingSyncRequests(
    const ClaimReplica& replica);

/// @brief Takes in copied rows.
/// @return Whether more should be asked of the same source at once.
bool ApplySyncReply(ClaimReplica& replica,
                    const ClaimSyncReply& reply,
                    Millis now);

/// @brief Forgets expired claims, and ends the abstention after one
/// retention period.
void TickReplica(ClaimReplica& replica, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CLAIMS_REPLICA_H_
