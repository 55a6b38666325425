#ifndef HEMLOCKPOINT_NODE_KEYED_CALLS_H_
#define HEMLOCKPOINT_NODE_KEYED_CALLS_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "hemlockpoint/node/claim_service.h"
#include "hemlockpoint/node/context.h"
#include "hemlockpoint/wire/call_messages.h"

namespace hemlockpoint {

/// @brief Largest response body that the node which ran a call stores for
/// resends; longer responses are not stored.
inline constexpr std::size_t kMaxLocalResponseBytes = std::size_t{64} * 1024;
/// @brief Maximum number of keys that a node tracks before it evicts keys of
/// ended calls. Resends with an evicted key are answered from the replicas.
inline constexpr std::size_t kMaxLocalKeys = 8192;

/// @brief Runs at most one call per idempotency key and answers later calls
/// with the same key from the response of the first.
class KeyedCalls {
 public:
  KeyedCalls(NodeContext& context, ClaimService& claims);

  /// @brief Claims the call's idempotency key. If another call on this node
  /// holds the key, waits until that call ends. Suspends the calling fiber.
  /// @return Nothing if the call may run; EndClaim() must be called afterwards.
  /// Otherwise the response to send instead of running the call.
  [[nodiscard]] std::optional<ResponseStart> BeginClaim(const CallStart& start,
                                                        Millis deadline);

  /// @brief Records the end of a call that BeginClaim() allowed to run and
  /// reports it to the replicas.
  /// @param response The whole response if `step` is kComplete and the response
  /// is short enough to store; otherwise nothing.
  void EndClaim(const CallStart& start,
                ClaimStep step,
                const std::optional<ResponseStart>& response);

 private:
  struct KeyState {
    Claimant m_claimant;
    Fingerprint m_fingerprint;
    ClaimPhase m_phase = ClaimPhase::kRunning;
    /// The call did not run, so its key may be claimed again.
    bool m_is_released = false;
    std::optional<ResponseStart> m_response;
    /// Notified when the call ends.
    FiberEvent m_ended;
  };

  ResponseStart MakeResponse(const KeyState& key) const;
  ResponseStart MakeResponse(const ClaimReply& holder) const;
  ResponseStart MakeRefusedResponse(Refusal refusal) const;
  void EvictEndedKeys();

  NodeContext& m_context;
  ClaimService& m_claims;
  /// Shared with the fibers that wait for the first call with a key to end.
  std::map<std::string, std::shared_ptr<KeyState>> m_keys;
  /// Keys whose call has ended, oldest first.
  std::deque<std::string> m_ended_keys;
  std::uint64_t m_last_session = 0;
};

/// @return The name under which an idempotency key is claimed. It contains the
/// caller and the service, because keys are unique only per caller and service.
[[nodiscard]] std::string ClaimKeyOf(const CallStart& start);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_KEYED_CALLS_H_
