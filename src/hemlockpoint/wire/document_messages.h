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
  /// Version that the receiver must have; 0 if the update holds the whole
  /// document.
  DocumentVersion m_since;
  /// New and changed routes.
  std::vector<Route> m_changed;
  std::vector<RouteName> m_removed;
  /// All services, and all limits, of the new version; never only differences.
  std::vector<ServiceConfig> m_services;
  CallerBounds m_bounds;
  /// Time since the start of the newest heartbeat round that a majority has
  /// acknowledged (quorum ack), which proves that the sender was the leader
  /// then.
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

/// @brief Heartbeat of a control host to the leader, which thereby knows that
/// the host is alive and may become a member of the control group.
struct HostHeartbeat {
  static constexpr const char* kType = "host_beat";
  NodeId m_node;
  /// Id of the content of the host's data folder, and of its Raft member. A
  /// wiped host has a new one.
  std::string m_instance;
  /// "ADDRESS:PORT" of the host's peer listener.
  std::string m_peer;
  /// "ADDRESS:PORT" of the host's HTTP listener for operators.
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
