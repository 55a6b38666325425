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

/// @brief The sections that changed after the revision that a node has.
struct PolicyPush {
  static constexpr const char* kType = "policy";
  Revision m_revision;
  /// Revision that the update builds on; 0 for the whole document.
  Revision m_since;
  std::vector<SectionUpdate> m_changed;
  std::vector<std::string> m_removed;
  /// Time since a majority last confirmed the sender.
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
  /// 0 suspect, 1 quarantined, 2 lifted by an operator.
  std::uint64_t m_state = 0;
  Millis m_time_left;
  /// Route mode: crashes that a node adds, or their sum as a control host
  /// passes it on.
  std::uint64_t m_crashes = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("print", self.m_fingerprint);
    visit("state", self.m_state);
    visit("left", self.m_time_left);
    visit("crashes", self.m_crashes);
  }
};

/// @brief Suspects that a node has found, or that a control host passes on.
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
