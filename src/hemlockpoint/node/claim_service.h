#ifndef HEMLOCKPOINT_NODE_CLAIM_SERVICE_H_
#define HEMLOCKPOINT_NODE_CLAIM_SERVICE_H_

#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "hemlockpoint/claims/attempt.h"
#include "hemlockpoint/claims/replica.h"
#include "hemlockpoint/node/context.h"

namespace hemlockpoint {

/// @brief Result of an attempt to claim a key.
struct ClaimResult {
  ClaimAttemptState m_state = ClaimAttemptState::kUnavailable;
  /// If m_state is kHeld: the reply that describes the call holding the key.
  ClaimReply m_holder;
};

/// @brief Manages claims on idempotency keys. This node stores claims as a
/// replica for some services and makes claims for calls to its own target.
class ClaimService {
 public:
  explicit ClaimService(NodeContext& context);

  /// @brief Applies the replica sets that the control group pushes. Sets of
  /// an older epoch are ignored.
  void Handle(const ClaimReplicaSets& sets);
  void Handle(LinkId link, const ClaimRequest& request);
  void Handle(const ClaimReply& reply);
  void Handle(LinkId link, const ClaimSyncRequest& sync);
  void Handle(const ClaimSyncReply& reply);

  /// @brief Removes expired claims and requests claims that this replica still
  /// has to sync. Call it about every kClaimTickPeriod.
  void Tick();

  /// @brief Claims a key and retries while no majority of the replicas
  /// answers. Suspends the calling fiber.
  /// @param until Time on the clock of SteadyNow() at which to give up.
  [[nodiscard]] ClaimResult Acquire(const ServiceName& service,
                                    const std::string& key,
                                    const Claimant& claimant,
                                    Fingerprint fingerprint,
                                    Millis until);

  /// @brief Reports to the replicas how the claimed call ended. Returns
  /// immediately; a separate fiber resends the report a limited number of
  /// times until every replica has replied.
  /// @param response The encoded response to store. It is not sent if it
  /// exceeds kMaxStoredResponseBytes.
  void EndClaim(ClaimStep step,
                const ServiceName& service,
                const std::string& key,
                const Claimant& claimant,
                Fingerprint fingerprint,
                const std::string& response);

  /// @return Number of claims that this node stores as a replica.
  [[nodiscard]] std::size_t claims() const;
  /// @return Number of services for which this node is a replica that may
  /// grant claims.
  [[nodiscard]] std::size_t valid_replicas() const;
  /// @return Number of services for which this node is a replica.
  [[nodiscard]] std::size_t replicas() const { return m_replicas.size(); }

  static constexpr Millis kClaimTickPeriod{200};

 private:
  /// An attempt whose replies are awaited by a fiber.
  struct PendingAttempt {
    ClaimAttempt m_attempt;
    FiberEvent m_changed;
  };

  ClaimResult AttemptClaim(ClaimRequest request, Millis until);
  /// Sends a request to the replicas that have not replied to the attempt.
  void SendToReplicas(const ClaimReplicaSet& set,
                      const ClaimRequest& request,
                      const ClaimAttempt& attempt);
  void SendSyncs(const ClaimReplica& replica);

  NodeContext& m_context;
  std::map<ServiceName, ClaimReplicaSet> m_sets;
  std::map<ServiceName, ClaimReplica> m_replicas;
  /// Attempts by request number.
  std::unordered_map<std::uint64_t, PendingAttempt*> m_pending;
  std::uint64_t m_last_number = 0;
  std::size_t m_open_end_notices = 0;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_CLAIM_SERVICE_H_
