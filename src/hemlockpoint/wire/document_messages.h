#ifndef HEMLOCKPOINT_WIRE_DOCUMENT_MESSAGES_H_
#define HEMLOCKPOINT_WIRE_DOCUMENT_MESSAGES_H_

#include <string>
#include <vector>

#include "hemlockpoint/routes/route_document.h"

namespace hemlockpoint {

/// @brief The routes that changed after the version that a node has.
struct DocumentPush {
  static constexpr const char* kType = "document";
  DocumentVersion m_version;
  /// Version that the update builds on; 0 for the whole document.
  DocumentVersion m_since;
  std::vector<Route> m_changed;
  std::vector<RouteName> m_removed;
  std::vector<RouteService> m_services;
  CallerBounds m_bounds;
  /// Time since a majority last confirmed the sender.
  Millis m_quorum_ack_age;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("v", self.m_version);
    visit("since", self.m_since);
    visit("changed", self.m_changed);
    visit("removed", self.m_removed);
    visit("services", self.m_services);
    visit("bounds", self.m_bounds);
    visit("proof", self.m_quorum_ack_age);
  }
};

/// @brief A control host's word to the leader that it is alive, so that the
/// leader can make it a member of the group.
struct HostHeartbeat {
  static constexpr const char* kType = "host_beat";
  NodeId m_node;
  std::string m_instance;
  std::string m_peer;
  std::string m_admin;
  /// Group of which the host's data is; empty when its folder is blank.
  std::string m_group_id;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("node", self.m_node);
    visit("instance", self.m_instance);
    visit("peer", self.m_peer);
    visit("admin", self.m_admin);
    visit("gid", self.m_group_id);
  }
};

/// @brief Asks a peer for any message, or is that message.
struct Ping {
  static constexpr const char* kType = "ping";
  bool m_is_reply = false;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("r", self.m_is_reply);
  }
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_WIRE_DOCUMENT_MESSAGES_H_
