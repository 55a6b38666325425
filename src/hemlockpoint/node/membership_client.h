#ifndef HEMLOCKPOINT_NODE_MEMBERSHIP_CLIENT_H_
#define HEMLOCKPOINT_NODE_MEMBERSHIP_CLIENT_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "hemlockpoint/membership/control_hosts.h"
#include "hemlockpoint/runtime/fiber_event.h"
#include "hemlockpoint/runtime/fiber_loop.h"
#include "hemlockpoint/transport/link_manager.h"

namespace hemlockpoint {

/// @brief What the membership client needs of its node.
struct MembershipHooks {
  /// Describes the node and its target for others.
  std::function<MemberEntry()> m_describe_self;
  /// Takes in changes; returns peers whose links are stale.
  std::function<std::vector<std::string>(const DirectoryDelta&)> m_apply;
  /// Whether any member of a service is known.
  std::function<bool(const ServiceName&)> m_knows_service;
  /// Drops a service whose members nobody tells about any more.
  std::function<void(const ServiceName&)> m_forget_service;
};

/// @brief Keeps this node's lease at the leader of the control group and
/// takes in the directory that it pushes.
class MembershipClient {
 public:
  MembershipClient(FiberLoop& loop,
                   LinkManager& links,
                   std::vector<Endpoint> seeds,
                   MembershipHooks hooks);

  /// @brief Sends heartbeats until the loop stops; runs on a fiber.
  void Run();

  /// @brief Sends a heartbeat soon, because something has changed.
  void RequestHeartbeat();

  /// @brief Takes other seeds into account from now on.
  void SetSeeds(std::vector<Endpoint> seeds);

  /// @return Whether the answer came from a leader with fresh proof.
  bool Handle(const HeartbeatAck& ack);
  void Handle(const DirectoryDelta& delta);

  /// @brief Makes a service known whose members this node will need.
  void AddInterest(const ServiceName& service);

  /// @brief Makes a service known and waits a moment for its members, the
  /// first time that it is called here; used on a fiber.
  void AwaitServiceMembers(const ServiceName& service);

  /// @return Whether a leader with a fresh proof of its majority answers.
  [[nodiscard]] bool has_leader() const;

  /// @return Peer endpoint of the control host that is asked now.
  [[nodiscard]] const Endpoint& control_endpoint() const {
    return m_hosts.m_current;
  }

 private:
  // A service that is called here.
  struct Interest {
    Millis m_asked;
    Millis m_last_used;
  };

  void Beat();
  Heartbeat MakeHeartbeat() const;
  void FailOverToNextHost();
  void RemoveIdleInterests();

  FiberLoop& m_loop;
  LinkManager& m_links;
  MembershipHooks m_hooks;
  ControlHosts m_hosts;
  std::string m_origin;
  std::uint64_t m_version = 0;
  std::map<ServiceName, Interest> m_interests;
  FiberEvent m_changed;
  bool m_is_heartbeat_requested = false;
  bool m_had_leader = false;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_MEMBERSHIP_CLIENT_H_
