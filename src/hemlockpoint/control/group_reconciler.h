#ifndef HEMLOCKPOINT_CONTROL_GROUP_RECONCILER_H_
#define HEMLOCKPOINT_CONTROL_GROUP_RECONCILER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/control/group_planner.h"
#include "hemlockpoint/control/group_tolerance.h"
#include "hemlockpoint/control/host_table.h"
#include "hemlockpoint/control/raft_driver.h"

namespace hemlockpoint {

/// @brief Forms the control group from the seeds, and replaces lost members,
/// without an operator.
class GroupReconciler {
 public:
  /// @param query_instance Asks a host for its instance. It is called on a
  /// fiber.
  GroupReconciler(const Settings& settings,
                  FiberLoop& loop,
                  LinkManager& links,
                  RaftDriver& group,
                  std::function<std::optional<InstanceQuery>(const Endpoint&)>
                      query_instance);

  /// @brief Starts the periodic tasks, and forms the group if this host has to.
  void Start();

  /// @brief Records a host's heartbeat if this host is the leader.
  void Handle(const HostHeartbeat& heartbeat);

  /// @brief Handles the reply to this host's own heartbeat.
  void Handle(const HeartbeatAck& ack);

  /// @return What this host knows of the others.
  [[nodiscard]] const HostTable& hosts() const { return m_hosts; }

  /// @brief Replaces the seeds at which this host looks for the leader.
  void SetSeeds(std::vector<Endpoint> seeds);

 private:
  HostHeartbeat MakeHostHeartbeat() const;
  void SendHeartbeats();
  void FormGroup(const std::vector<Endpoint>& seeds);
  void ReconcileMembers();
  void LogTolerance(Millis now);
  void LogMissingLeader(Millis now);

  const Settings& m_settings;
  FiberLoop& m_loop;
  LinkManager& m_links;
  RaftDriver& m_group;
  std::function<std::optional<InstanceQuery>(const Endpoint&)> m_query_instance;
  HostTable m_hosts;
  Millis m_started_at;
  GroupTolerance m_logged_tolerance;
  /// Since when no leader is known, or the time of the last log line about it.
  Millis m_leader_missing_since;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_GROUP_RECONCILER_H_
