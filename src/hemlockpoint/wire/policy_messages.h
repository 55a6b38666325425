#ifndef HEMLOCKPOINT_WIRE_POLICY_MESSAGES_H_
#define HEMLOCKPOINT_WIRE_POLICY_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief One section of the policy document.
struct SectionUpdate {
  std::string m_name;
  Revision m_revision;
  std::string m_text;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("name", self.m_name);
    visit("rev", self.m_revision);
    visit("text", self.m_text);
  }
};

/// @brief Update of a node's policy document from one revision to a newer one.
struct PolicyPush {
  static constexpr const char* kType = "policy";
  Revision m_revision;
  /// Base revision: the receiver must have it or a newer one; 0 if the update
  /// holds the whole document.
  Revision m_since;
  /// New and changed sections.
  std::vector<SectionUpdate> m_changed;
  std::vector<std::string> m_removed;
  /// Time since the start of the newest heartbeat round that a majority has
  /// acknowledged (quorum ack), which proves that the sender was the leader
  /// then.
  Millis m_quorum_ack_age;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("rev", self.m_revision);
    visit("since", self.m_since);
    visit("changed", self.m_changed);
    visit("removed", self.m_removed);
    visit("proof", self.m_quorum_ack_age);
  }
};

/// @brief One suspected or quarantined request.
struct SuspectRow {
  Fingerprint m_fingerprint;
  /// 0: suspect; 1: quarantined; 2: lifted, by an operator or because the
  /// request has since been served without a crash.
  std::uint64_t m_state = 0;
  /// Time until the state expires, as of sending.
  Millis m_time_left;
  /// With a route document: crashes that the request caused. A node sends the
  /// number that it adds; a control host sends the sum of all nodes.
  std::uint64_t m_crashes = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("print", self.m_fingerprint);
    visit("state", self.m_state);
    visit("left", self.m_time_left);
    visit("crashes", self.m_crashes);
  }
};

/// @brief Suspected requests that a node has found or a control host forwards.
struct SuspectReport {
  static constexpr const char* kType = "suspects";
  std::vector<SuspectRow> m_rows;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("rows", self.m_rows);
  }
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_WIRE_POLICY_MESSAGES_H_
