#ifndef HEMLOCKPOINT_CONTROL_GROUP_RECONCILER_H_
#define HEMLOCKPOINT_CONTROL_GROUP_RECONCILER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/control/group_planner.h"
#include "hemlockpoint/control/raft_driver.h"
#include "hemlockpoint/membership/control_hosts.h"

namespace hemlockpoint {

/// @brief Forms the control group from seeds and keeps its members complete,
/// without an operator.
class GroupReconciler {
 public:
  /// @param query Asks a host for its instance; used on a fiber.
  GroupReconciler(
      const Settings& settings,
      FiberLoop& loop,
      LinkManager& links,
      RaftDriver& group,
      std::function<std::optional<InstanceQuery>(const Endpoint&)> query);

  /// @brief Starts the periodic work.
  void Start();

  /// @brief Takes in a host's beat. Only the leader keeps it.
  void Handle(const HostHeartbeat& beat);

  /// @brief Takes in the answer to this host's own beat.
  void Handle(const HeartbeatAck& ack);

  void SetSeeds(std::vector<Endpoint> seeds);

 private:
  HostHeartbeat MakeHostHeartbeat() const;
  void SendHostHeartbeat();
  void FormGroup();
  void Plan();

  const Settings& m_settings;
  FiberLoop& m_loop;
  LinkManager& m_links;
  RaftDriver& m_group;
  std::function<std::optional<InstanceQuery>(const Endpoint&)> m_query;
  ControlHosts m_hosts;
  HostHeartbeats m_heard;
  Millis m_elected_at;
  bool m_was_leader = false;
  Millis m_started;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_GROUP_RECONCILER_H_
