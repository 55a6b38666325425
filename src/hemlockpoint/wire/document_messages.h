#ifndef HEMLOCKPOINT_WIRE_DOCUMENT_MESSAGES_H_
#define HEMLOCKPOINT_WIRE_DOCUMENT_MESSAGES_H_

#include <string>
#include <vector>

#include "hemlockpoint/routes/route_document.h"

namespace hemlockpoint {

/// @brief Update of a node's route document from one version to a newer one.
struct DocumentPush {
  static constexpr const char* kType = "document";
  DocumentVersion m_version;
  /// Version that the update applies to; 0 if it holds the whole document.
  DocumentVersion m_since;
  std::vector<Route> m_changed;
  std::vector<RouteName> m_removed;
  std::vector<ServiceConfig> m_services;
  CallerBounds m_bounds;
  /// Time since a majority last acknowledged the sender as the leader.
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

/// @brief Heartbeat of a control host to the leader. The leader can add hosts
/// that are alive to the control group.
struct HostHeartbeat {
  static constexpr const char* kType = "host_beat";
  NodeId m_node;
  /// Identifies the content of the host's data folder.
  std::string m_instance;
  /// "ADDRESS:PORT" of the host's peer listener.
  std::string m_peer;
  /// "ADDRESS:PORT" of the host's operator listener.
  std::string m_admin;
  /// Group that the host's data belongs to; empty if its folder has none.
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

/// @brief Liveness check of a link; also the reply to it.
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
