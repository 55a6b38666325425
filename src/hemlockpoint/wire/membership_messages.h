#ifndef HEMLOCKPOINT_WIRE_MEMBERSHIP_MESSAGES_H_
#define HEMLOCKPOINT_WIRE_MEMBERSHIP_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/routes/route_document.h"

namespace hemlockpoint {

/// @brief What a node tells about the target beside it.
struct TargetSummary {
  ServiceName m_service;
  std::uint64_t m_slots = 0;
  std::uint64_t m_connections = 0;
  bool m_leaving = false;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("service", self.m_service);
    visit("slots", self.m_slots);
    visit("conns", self.m_connections);
    visit("leaving", self.m_leaving);
  }
};

/// @brief What the directory knows of one node.
struct MemberEntry {
  NodeId m_node;
  std::uint64_t m_incarnation = 0;
  /// "ADDRESS:PORT" of the node's peer listener.
  std::string m_peer;
  /// "ADDRESS:PORT" of the node's operator listener.
  std::string m_admin;
  std::string m_region;
  std::string m_failure_domain;
  /// The service is empty while no target has announced itself.
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

/// @brief A node's lease renewal at a control host.
struct Heartbeat {
  static constexpr const char* kType = "heartbeat";
  MemberEntry m_member;
  /// Services whose members the node wants to know.
  std::vector<ServiceName> m_interests;
  /// Version of the directory that the node has, with its origin.
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

/// @brief A control host's answer to a heartbeat.
struct HeartbeatAck {
  static constexpr const char* kType = "heartbeat_ack";
  /// Whether this control host leads the group.
  bool m_is_leader = false;
  /// Peer endpoint of the leader where known; empty otherwise.
  std::string m_leader;
  /// Time since a majority last confirmed the leader.
  Millis m_quorum_ack_age;
  /// Newest committed revision of the policy document.
  Revision m_revision;
  /// Peer endpoints of the control hosts, for a node that has lost them.
  std::vector<std::string> m_hosts;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("leading", self.m_is_leader);
    visit("leader", self.m_leader);
    visit("proof", self.m_quorum_ack_age);
    visit("rev", self.m_revision);
    visit("hosts", self.m_hosts);
  }
};

/// @brief Changes of the members of the services that a node calls.
struct DirectoryDelta {
  static constexpr const char* kType = "directory";
  /// Names the directory that the versions count; changes with the leader.
  std::string m_origin;
  std::uint64_t m_version = 0;
  /// Members of the named services that are not listed are gone.
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
