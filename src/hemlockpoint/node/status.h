#ifndef HEMLOCKPOINT_NODE_STATUS_H_
#define HEMLOCKPOINT_NODE_STATUS_H_

#include <nlohmann/json.hpp>
#include <string>

#include "hemlockpoint/node/context.h"
#include "hemlockpoint/node/membership_client.h"
#include "hemlockpoint/node/target_dispatcher.h"

namespace hemlockpoint {

/// @return One node's state for hemlockctl status.
[[nodiscard]] nlohmann::ordered_json NodeStatusJson(
    const NodeContext& core,
    const TargetDispatcher& gate,
    const MembershipClient& membership);

/// @return One member's entry in a control host's directory.
[[nodiscard]] nlohmann::ordered_json ToJson(const MemberEntry& member);

/// @return Counters and gauges in the Prometheus text format, version 0.0.4.
[[nodiscard]] std::string MetricsText(const NodeContext& core,
                                      const TargetDispatcher& gate);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_STATUS_H_
