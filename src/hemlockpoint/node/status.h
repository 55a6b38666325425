#ifndef HEMLOCKPOINT_NODE_STATUS_H_
#define HEMLOCKPOINT_NODE_STATUS_H_

#include <nlohmann/json.hpp>
#include <string>

#include "hemlockpoint/node/context.h"
#include "hemlockpoint/node/membership_client.h"
#include "hemlockpoint/node/target_dispatcher.h"

namespace hemlockpoint {

/// @return The state of one node, as `hemlockctl status` shows it.
[[nodiscard]] nlohmann::ordered_json NodeStatusJson(
    const NodeContext& context,
    const TargetDispatcher& dispatcher,
    const MembershipClient& membership);

/// @return The entry of one member in the directory of a control host.
[[nodiscard]] nlohmann::ordered_json ToJson(const MemberEntry& member);

/// @return The counters and gauges of a node in the Prometheus text format,
/// version 0.0.4.
[[nodiscard]] std::string MetricsText(const NodeContext& context,
                                      const TargetDispatcher& dispatcher);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_STATUS_H_
