#ifndef HEMLOCKPOINT_MEMBERSHIP_CONTROL_HOSTS_H_
#define HEMLOCKPOINT_MEMBERSHIP_CONTROL_HOSTS_H_

#include <vector>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/wire/membership_messages.h"

namespace hemlockpoint {

/// @brief An isolated leader can't prove its majority for longer than this.
inline constexpr Millis kMaxQuorumAckAge(2000);
/// @brief Silence after which another control host is asked: two heartbeats
/// and a round trip over a loaded link.
inline constexpr Millis kHostSilenceTimeout(1200);

/// @brief Where one process looks for the leader of the control group.
struct ControlHosts {
  /// Peer endpoints from the settings, and those that a leader has told.
  std::vector<Endpoint> m_seeds;
  std::vector<Endpoint> m_learned_hosts;
  /// The host that is asked now.
  Endpoint m_current;
  Millis m_current_since;
  /// When a leader had last proved its majority, as far as it told.
  Millis m_last_quorum_ack{-1e12};
  std::size_t m_next = 0;
};

/// @brief Starts, or goes on with other seeds.
void SetSeeds(ControlHosts& hosts, std::vector<Endpoint> seeds, Millis now);

/// @return Whether the host that is asked has been silent for too long.
[[nodiscard]] bool IsHostSilent(const ControlHosts& hosts, Millis now);

/// @brief Turns to the next host in order.
void SelectNextHost(ControlHosts& hosts, Millis now);

/// @brief Takes in an answer to a heartbeat; follows its word of the leader.
/// @return Whether it came from a leader with a fresh proof.
bool HandleHeartbeatAck(ControlHosts& hosts,
                        const HeartbeatAck& ack,
                        Millis now);

/// @return Whether a leader has proved its majority in the last
/// kMaxQuorumAckAge.
[[nodiscard]] bool HasLeader(const ControlHosts& hosts, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_MEMBERSHIP_CONTROL_HOSTS_H_
