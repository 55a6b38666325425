#ifndef HEMLOCKPOINT_NODE_ANNOUNCEMENT_H_
#define HEMLOCKPOINT_NODE_ANNOUNCEMENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/result.h"

namespace hemlockpoint {

/// @brief What a target tells the node beside it; see docs/interfaces.md.
struct TargetAnnouncement {
  ServiceName m_service;
  Endpoint m_endpoint;
  std::uint64_t m_slots = 0;
  std::uint64_t m_connections = 0;
  bool m_draining = false;
  /// Differs between two lives of the target.
  std::string m_incarnation;
};

/// @param json The announcement's body.
/// @return The announcement, or the first fault in it.
[[nodiscard]] Result<TargetAnnouncement> ParseAnnouncement(
    std::string_view json);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_ANNOUNCEMENT_H_
