#ifndef HEMLOCKPOINT_NODE_MEMBERSHIP_CLIENT_H_
#define HEMLOCKPOINT_NODE_MEMBERSHIP_CLIENT_H_

#include <map>
#include <optional>
#include <string>

#include "hemlockpoint/node/core.h"
#include "hemlockpoint/node/target_gate.h"

namespace hemlockpoint {

/// @brief Keeps this node's lease at the leader of the control group and
/// takes in the directory that it pushes.
class MembershipClient {
 public:
  MembershipClient(NodeCore& core, TargetGate& gate);

  /// @brief Sends heartbeats until the loop stops; runs on a fiber.
  void Run();

  /// @brief Sends a heartbeat soon, because something has changed.
  void HeartbeatSoon();

  /// @return Whether the answer came from a leader with fresh proof.
  bool Handle(const HeartbeatAck& ack);
  void Handle(const DirectoryDelta& delta);

  /// @brief Makes a service known and waits a moment for its members, the
  /// first time that it is called here; used on a fiber.
  void WantService(const ServiceName& service);

  /// @return Whether a leader with a fresh proof of its majority answers.
  [[nodiscard]] bool has_leader() const;

  /// @return Peer endpoint of the control host that is asked now.
  [[nodiscard]] const Endpoint& control_endpoint() const { return m_control; }

 private:
  // A service that is called here.
  struct Interest {
    Millis m_asked;
    Millis m_used;
  };

  void Beat();
  Heartbeat MakeHeartbeat() const;
  void TryNextHost();
  void ForgetIdleInterests();

  NodeCore& m_core;
  TargetGate& m_gate;
  Endpoint m_control;
  std::size_t m_next_host = 0;
  Millis m_last_good_ack{-1e12};
  Millis m_asked_since;
  std::string m_origin;
  std::uint64_t m_version = 0;
  std::map<ServiceName, Interest> m_interests;
  FiberEvent m_changed;
  bool m_beat_soon = false;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_MEMBERSHIP_CLIENT_H_
