#ifndef HEMLOCKPOINT_WIRE_MEMBERSHIP_MESSAGES_H_
#define HEMLOCKPOINT_WIRE_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/routes/route_document.h"

namespace hemlockpoint {

/// @brief The target of a node, as the other nodes see it.
struct TargetSummary {
  ServiceName m_service;
  /// Calls that the target serves at the same time.
  std::uint64_t m_slots = 0;
  /// Maximum number of connections that the node opens to the target.
  std::uint64_t m_connections = 0;
  /// The target accepts no new calls, because it or its node is leaving.
  bool m_leaving = false;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("service", self.m_service);
    visit("slots", self.m_slots);
    visit("conns", self.m_connections);
    visit("leaving", self.m_leaving);
  }
};

/// @brief Directory entry of one node.
struct MemberEntry {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  /// "ADDRESS:PORT" of the node's peer listener.
  std::string m_peer;
  /// "ADDRESS:PORT" of the node's HTTP listener for operators.
  std::string m_admin;
  std::string m_region;
  std::string m_failure_domain;
  /// Its service is empty while no target has announced itself to the node.
  TargetSummary m_target;
  /// Revision of the policy document in force at the node.
  Revision m_revision;
  /// Version of the route document in force at the node.
  DocumentVersion m_document;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("node", self.m_node);
    visit("inc", self.m_incarnation);
    visit("peer", self.m_peer);
    visit("admin", self.m_admin);
    visit("region", self.m_region);
    visit("fd", self.m_failure_domain);
    visit("target", self.m_target);
    visit("rev", self.m_revision);
    visit("doc", self.m_document);
  }
};

/// @brief Renews a node's lease at a control host.
struct Heartbeat {
  static constexpr const char* kType = "heartbeat";
  MemberEntry m_member;
  /// Services whose members the node subscribes to.
  std::vector<ServiceName> m_interests;
  /// Origin and version of the directory that the node has.
  std::string m_directory_origin;
  std::uint64_t m_directory_version = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("member", self.m_member);
    visit("interests", self.m_interests);
    visit("origin", self.m_directory_origin);
    visit("version", self.m_directory_version);
  }
};

/// @brief A control host's reply to a heartbeat.
struct HeartbeatAck {
  static constexpr const char* kType = "heartbeat_ack";
  /// Whether this control host leads the group.
  bool m_is_leader = false;
  /// Peer endpoint of the leader; empty if unknown.
  std::string m_leader;
  /// Operator endpoint of the leader; absent if unknown.
  std::optional<std::string> m_leader_admin;
  /// If m_is_leader is set: time since the start of the newest heartbeat round
  /// that a majority has acknowledged (quorum ack).
  Millis m_quorum_ack_age;
  /// Newest committed revision of the policy document.
  Revision m_revision;
  /// Peer endpoints of the control hosts. A node that can reach none of the
  /// hosts that it knows tries these.
  std::vector<std::string> m_hosts;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("leading", self.m_is_leader);
    visit("leader", self.m_leader);
    visit("leader_admin", self.m_leader_admin);
    visit("proof", self.m_quorum_ack_age);
    visit("rev", self.m_revision);
    visit("hosts", self.m_hosts);
  }
};

/// @brief Changed members of the services that a node subscribes to.
struct DirectoryDelta {
  static constexpr const char* kType = "directory";
  /// Identifies the directory that the version belongs to. Each leader has a
  /// directory of its own.
  std::string m_origin;
  std::uint64_t m_version = 0;
  /// The delta lists all members of m_services; others have left.
  bool m_is_full = false;
  std::vector<ServiceName> m_services;
  std::vector<MemberEntry> m_changed;
  std::vector<NodeId> m_gone;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("origin", self.m_origin);
    visit("version", self.m_version);
    visit("full", self.m_is_full);
    visit("services", self.m_services);
    visit("changed", self.m_changed);
    visit("gone", self.m_gone);
  }
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_WIRE_MEMBERSHIP_MESSAGES_H_
