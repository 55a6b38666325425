#ifndef HEMLOCKPOINT_MEMBERSHIP_CONTROL_HOSTS_H_
#define HEMLOCKPOINT_MEMBERSHIP_CONTROL_HOSTS_H_

#include <vector>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/wire/membership_messages.h"

namespace hemlockpoint {

/// @brief A leader counts only if a majority has acknowledged it within this
/// time. A leader that is cut off from its majority exceeds it.
inline constexpr Millis kMaxQuorumAckAge(2000);
/// @brief Time without a reply from a leader after which another control host
/// is asked: two heartbeats and a round trip over a loaded link.
inline constexpr Millis kHostSilenceTimeout(1200);

/// @brief The control hosts at which a process looks for the leader of the
/// control group.
struct ControlHosts {
  /// Peer endpoints of the control hosts from the settings.
  std::vector<Endpoint> m_seeds;
  /// Peer endpoints from the last heartbeat reply that named any.
  std::vector<Endpoint> m_learned_hosts;
  /// The host that heartbeats are sent to.
  Endpoint m_current;
  Millis m_current_since;
  /// Time at which a majority last acknowledged the leader, as reported by it.
  Millis m_last_quorum_ack{-1e12};
  /// Position of the last host chosen by SelectNextHost.
  std::size_t m_host_index = 0;
};

/// @brief Sets or replaces the seeds. The first seed becomes the current host
/// if there is none yet.
void SetSeeds(ControlHosts& hosts, std::vector<Endpoint> seeds, Millis now);

/// @return The learned hosts, and the seeds that aren't among them.
[[nodiscard]] std::vector<Endpoint> KnownHosts(const ControlHosts& hosts);

/// @return Whether kHostSilenceTimeout has passed both since the current host
/// was chosen and since a majority last acknowledged a leader.
[[nodiscard]] bool IsCurrentHostSilent(const ControlHosts& hosts, Millis now);

/// @brief Makes the next host in round-robin order the current one: first the
/// learned hosts, then the other seeds.
void SelectNextHost(ControlHosts& hosts, Millis now);

/// @brief Handles the reply to a heartbeat: learns the control hosts, and
/// switches to the leader that the reply names. Malformed endpoints are
/// ignored.
/// @return Whether the sender is a leader that a majority has acknowledged
/// within kMaxQuorumAckAge.
bool HandleHeartbeatAck(ControlHosts& hosts,
                        const HeartbeatAck& ack,
                        Millis now);

/// @return Whether a majority has acknowledged a leader within
/// kMaxQuorumAckAge.
[[nodiscard]] bool HasLeader(const ControlHosts& hosts, Millis now);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_MEMBERSHIP_CONTROL_HOSTS_H_
