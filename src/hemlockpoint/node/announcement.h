#ifndef HEMLOCKPOINT_NODE_ANNOUNCEMENT_H_
#define HEMLOCKPOINT_NODE_ANNOUNCEMENT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/result.h"

namespace hemlockpoint {

/// @brief State that a target reports to the node beside it. See
/// docs/interfaces.md.
struct TargetAnnouncement {
  ServiceName m_service;
  Endpoint m_endpoint;
  /// Calls that the target can run at the same time; 1 to 65536.
  std::uint64_t m_slots = 0;
  /// Connections that the node may open; at least m_slots.
  std::uint64_t m_connections = 0;
  /// The target accepts no new calls.
  bool m_draining = false;
  /// Differs between two runs of the target process.
  std::string m_incarnation;
};

/// @param json Body of the announcement request.
/// @return The announcement, or a description of the first invalid field.
[[nodiscard]] Result<TargetAnnouncement> ParseAnnouncement(
    std::string_view json);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_ANNOUNCEMENT_H_
