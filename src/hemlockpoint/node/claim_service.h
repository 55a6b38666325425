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

/// @brief How an attempt to claim a key has ended.
struct ClaimResult {
  ClaimAttemptState m_state = ClaimAttemptState::kUnavailable;
  /// With kHeld: what is known of the call that holds the key.
  ClaimReply m_holder;
};

/// @brief This node's part in the claims: as a replica for some services, and
/// as a claimant for its own.
class ClaimService {
 public:
  explicit ClaimService(NodeContext& core);

  /// @brief Takes in the sets of replicas that the control group pushes.
  void Handle(const ClaimReplicaSets& sets);
  void Handle(LinkId link, const ClaimRequest& request);
  void Handle(const ClaimReply& reply);
  void Handle(LinkId link, const ClaimSyncRequest& sync);
  void Handle(const ClaimSyncReply& reply);

  /// @brief Copies claims where needed and forgets old ones; call about every
  /// kClaimTickPeriod.
  void Tick();

  /// @brief Claims a key; used on a fiber.
  [[nodiscard]] ClaimResult Acquire(const ServiceName& service,
                                    const std::string& key,
                                    const Claimant& claimant,
                                    Fingerprint fingerprint,
                                    Millis until);

  /// @brief Tells the replicas how the claimed call ended, and repeats it
  /// until each has heard; returns at once.
  void End(ClaimStep step,
           const ServiceName& service,
           const std::string& key,
           const Claimant& claimant,
           Fingerprint fingerprint,
           const std::string& answer);

  /// @return Claims that this node keeps as a replica.
  [[nodiscard]] std::size_t claims() const;
  /// @return Services whose claims this node keeps and may grant.
  [[nodiscard]] std::size_t valid_replicas() const;
  [[nodiscard]] std::size_t replicas() const { return m_replicas.size(); }

  static constexpr Millis kClaimTickPeriod{200};

 private:
  struct Pending {
    ClaimAttempt m_attempt;
    FiberEvent m_changed;
  };

  ClaimResult AttemptClaim(ClaimRequest request, Millis until);
  void SendToReplicas(const ClaimReplicaSet& set,
                      const ClaimRequest& request,
                      const ClaimAttempt& answered);
  void SendSyncs(const ClaimReplica& replica);

  NodeContext& m_context;
  std::map<ServiceName, ClaimReplicaSet> m_sets;
  std::map<ServiceName, ClaimReplica> m_replicas;
  std::unordered_map<std::uint64_t, Pending*> m_pending;
  std::uint64_t m_last_number = 0;
  std::size_t m_open_end_notices = 0;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_CLAIM_SERVICE_H_
