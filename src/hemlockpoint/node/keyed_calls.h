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

/// @brief Longest answer that the node which ran a call keeps.
inline constexpr std::size_t kMaxLocalResponseBytes = std::size_t{64} * 1024;
/// @brief Keys that a node remembers at most. An ended call's key gives way,
/// and its resend is answered from the replicas.
inline constexpr std::size_t kMaxLocalKeys = 8192;

/// @brief Runs at most one call for each idempotency key, and gives later
/// ones its answer.
class KeyedCalls {
 public:
  KeyedCalls(NodeContext& core, ClaimService& claims);

  /// @brief Claims the call's key, or waits for the call that holds it here;
  /// used on a fiber.
  /// @return Nothing when this call may run, and must End() later; otherwise
  /// what to answer it with.
  [[nodiscard]] std::optional<ResponseStart> Begin(const CallStart& start,
                                                   Millis deadline);

  /// @brief Tells how a call ended whose Begin() let it run.
  /// @param answer Its whole answer with kComplete.
  void End(const CallStart& start,
           ClaimStep step,
           const std::optional<ResponseStart>& answer);

 private:
  struct Key {
    Claimant m_claimant;
    Fingerprint m_fingerprint;
    ClaimPhase m_phase = ClaimPhase::kRunning;
    bool m_is_released = false;
    std::optional<ResponseStart> m_response;
    FiberEvent m_ended;
  };

  ResponseStart AnswerFrom(const Key& key) const;
  ResponseStart AnswerFrom(const ClaimReply& holder) const;
  ResponseStart Refuse(Refusal refusal) const;
  void MakeRoom();

  NodeContext& m_context;
  ClaimService& m_claims;
  /// Shared with the calls that wait for a key's first call.
  std::map<std::string, std::shared_ptr<Key>> m_keys;
  /// Keys whose call has ended, the oldest first.
  std::deque<std::string> m_ended;
  std::uint64_t m_last_session = 0;
};

/// @return The name of a key in the claims: a key belongs to its caller and
/// service.
[[nodiscard]] std::string ClaimKeyOf(const CallStart& start);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_KEYED_CALLS_H_
