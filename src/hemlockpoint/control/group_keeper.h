#ifndef HEMLOCKPOINT_CONTROL_GROUP_KEEPER_H_
#define HEMLOCKPOINT_CONTROL_GROUP_KEEPER_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/control/group_driver.h"
#include "hemlockpoint/control/group_plan.h"
#include "hemlockpoint/membership/control_hosts.h"

namespace hemlockpoint {

/// @brief Forms the control group from seeds and keeps its members complete,
/// without an operator.
class GroupKeeper {
 public:
  /// @param query Asks a host for its instance; used on a fiber.
  GroupKeeper(
      const Settings& settings,
      FiberLoop& loop,
      LinkManager& links,
      GroupDriver& group,
      std::function<std::optional<InstanceQuery>(const Endpoint&)> query);

  /// @brief Starts the periodic work.
  void Start();

  /// @brief Takes in a host's beat. Only the leader keeps it.
  void Handle(const HostHeartbeat& beat);

  /// @brief Takes in the answer to this host's own beat.
  void Handle(const HeartbeatAck& ack);

  void SetSeeds(std::vector<Endpoint> seeds);

 private:
  HostHeartbeat MakeBeat() const;
  void SendBeat();
  void FormGroup();
  void Plan();

  const Settings& m_settings;
  FiberLoop& m_loop;
  LinkManager& m_links;
  GroupDriver& m_group;
  std::function<std::optional<InstanceQuery>(const Endpoint&)> m_query;
  ControlHosts m_hosts;
  HeardHosts m_heard;
  Millis m_leads_since;
  bool m_led = false;
  Millis m_started;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_GROUP_KEEPER_H_
