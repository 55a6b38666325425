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

/// @brief Functions of the node that MembershipClient calls.
struct MembershipHooks {
  /// Returns the entry that describes this node and its target to others.
  std::function<MemberEntry()> m_describe_self;
  /// Applies changes of the directory. Returns the peer endpoints whose links
  /// are stale.
  std::function<std::vector<std::string>(const DirectoryDelta&)> m_apply_delta;
  /// Returns whether any member of a service is known.
  std::function<bool(const ServiceName&)> m_knows_service;
  /// Removes a service whose members are no longer sent to this node.
  std::function<void(const ServiceName&)> m_forget_service;
};

/// @brief Renews this node's lease at the leader of the control group and
/// applies the directory changes that the leader pushes.
class MembershipClient {
 public:
  MembershipClient(FiberLoop& loop,
                   LinkManager& links,
                   std::vector<Endpoint> seeds,
                   MembershipHooks hooks);

  /// @brief Sends heartbeats until the loop stops. Suspends the calling fiber.
  void Run();

  /// @brief Makes Run() send the next heartbeat immediately.
  void RequestHeartbeat();

  /// @brief Replaces the control hosts from which the search for the leader
  /// starts.
  void SetSeeds(std::vector<Endpoint> seeds);

  /// @brief Processes the acknowledgement of a heartbeat.
  /// @return Whether it came from a leader that a majority has acknowledged
  /// recently.
  bool Handle(const HeartbeatAck& ack);
  /// @brief Applies a change of the directory and closes stale links.
  void Handle(const DirectoryDelta& delta);

  /// @brief Requests the members of a service from the control group, or keeps
  /// the existing request alive.
  void AddInterest(const ServiceName& service);

  /// @brief Requests the members of a service as AddInterest() does. If none is
  /// known, suspends the calling fiber until 400 ms after the first request.
  void AwaitServiceMembers(const ServiceName& service);

  /// @return Whether a leader has recently reported that a majority
  /// acknowledged it.
  [[nodiscard]] bool has_leader() const;

  /// @return Peer endpoint of the control host that gets the heartbeats.
  [[nodiscard]] const Endpoint& control_endpoint() const {
    return m_hosts.m_current;
  }

 private:
  // A service whose members this node has requested.
  struct Interest {
    Millis m_requested_at;
    Millis m_last_used;
  };

  void SendHeartbeat();
  Heartbeat MakeHeartbeat() const;
  void FailOverToNextHost();
  void RemoveIdleInterests();

  FiberLoop& m_loop;
  LinkManager& m_links;
  MembershipHooks m_hooks;
  ControlHosts m_hosts;
  /// Origin and version of the last directory change that was applied.
  std::string m_origin;
  std::uint64_t m_version = 0;
  std::map<ServiceName, Interest> m_interests;
  FiberEvent m_changed;
  bool m_is_heartbeat_requested = false;
  bool m_had_leader = false;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_MEMBERSHIP_CLIENT_H_
