#ifndef HEMLOCKPOINT_WIRE_CONSENSUS_MESSAGES_H_
#define HEMLOCKPOINT_WIRE_CONSENSUS_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/wire/call_messages.h"

namespace hemlockpoint {

/// @brief What an entry of the replicated log holds.
enum class LogEntryKind : unsigned char {
  /// Nothing; a new leader commits one to learn what is committed.
  kNoop,
  /// A GroupConfig.
  kConfig,
  /// A change of the policy document.
  kPolicyChange,
  /// The claim replicas of a service.
  kClaimReplicaSet,
  /// A DocumentChange of the route document.
  kDocument,
};

/// @brief One entry of the replicated log.
struct LogEntry {
  std::uint64_t m_index = 0;
  std::uint64_t m_term = 0;
  LogEntryKind m_kind = LogEntryKind::kNoop;
  Bytes m_data;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("index", self.m_index);
    visit("term", self.m_term);
    visit("kind", self.m_kind);
    visit("data", self.m_data);
  }
};

/// @brief One process of the control group. The instance names the content of
/// its data folder, so that a host whose disk was wiped is another member.
struct GroupMember {
  NodeId m_node;
  std::string m_instance;
  std::string m_peer;
  std::string m_admin;
  /// Counts in majorities; otherwise it only receives the log.
  bool m_is_voter = false;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("node", self.m_node);
    visit("instance", self.m_instance);
    visit("peer", self.m_peer);
    visit("admin", self.m_admin);
    visit("voter", self.m_is_voter);
  }
};

/// @brief The members of the control group.
struct GroupConfig {
  /// Distinguishes this group from every other, also of the same name.
  std::string m_group_id;
  /// SHA-256 of the token that may change the group and the first section.
  std::string m_admin_token_sha256;
  std::vector<GroupMember> m_members;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("group_id", self.m_group_id);
    visit("admin", self.m_admin_token_sha256);
    visit("members", self.m_members);
  }
};

/// @brief Who a message of the group is from and for.
struct RaftHeader {
  std::string m_group_id;
  std::string m_from_instance;
  std::string m_to_instance;
  std::uint64_t m_term = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("gid", self.m_group_id);
    visit("from", self.m_from_instance);
    visit("to", self.m_to_instance);
    visit("term", self.m_term);
  }
};

/// @brief Asks for a vote, or whether a vote would be given.
struct VoteRequest {
  static constexpr const char* kType = "vote";
  RaftHeader m_header;
  bool m_pre_vote = false;
  std::uint64_t m_last_index = 0;
  std::uint64_t m_last_term = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("s", self.m_header);
    visit("pre", self.m_pre_vote);
    visit("index", self.m_last_index);
    visit("lterm", self.m_last_term);
  }
};

struct VoteReply {
  static constexpr const char* kType = "vote_reply";
  RaftHeader m_header;
  bool m_pre_vote = false;
  bool m_granted = false;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("s", self.m_header);
    visit("pre", self.m_pre_vote);
    visit("granted", self.m_granted);
  }
};

/// @brief Carries entries, or none as a heartbeat.
struct AppendRequest {
  static constexpr const char* kType = "append";
  RaftHeader m_header;
  std::uint64_t m_previous_index = 0;
  std::uint64_t m_previous_term = 0;
  std::vector<LogEntry> m_entries;
  std::uint64_t m_commit = 0;
  /// Numbers the leader's rounds; the reply proves its leadership then.
  std::uint64_t m_round = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("s", self.m_header);
    visit("pindex", self.m_previous_index);
    visit("pterm", self.m_previous_term);
    visit("entries", self.m_entries);
    visit("commit", self.m_commit);
    visit("round", self.m_round);
  }
};

struct AppendReply {
  static constexpr const char* kType = "append_reply";
  RaftHeader m_header;
  bool m_success = false;
  /// Last entry known to agree, or on failure the entry to try next before.
  std::uint64_t m_match = 0;
  std::uint64_t m_round = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("s", self.m_header);
    visit("ok", self.m_success);
    visit("match", self.m_match);
    visit("round", self.m_round);
  }
};

/// @brief The state up to an entry, in place of the entries.
struct SnapshotRequest {
  static constexpr const char* kType = "snapshot";
  RaftHeader m_header;
  std::uint64_t m_index = 0;
  std::uint64_t m_index_term = 0;
  GroupConfig m_config;
  Bytes m_data;
  std::uint64_t m_round = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("s", self.m_header);
    visit("index", self.m_index);
    visit("iterm", self.m_index_term);
    visit("config", self.m_config);
    visit("data", self.m_data);
    visit("round", self.m_round);
  }
};

/// @brief Gives a blank control host the first members of a new group.
struct GroupInit {
  static constexpr const char* kType = "group_init";
  GroupConfig m_config;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("config", self.m_config);
  }
};

/// @brief Asks a control host for its instance, and answers the same.
struct InstanceQuery {
  static constexpr const char* kType = "instance_query";
  bool m_is_reply = false;
  std::string m_instance;
  std::string m_admin;
  /// The host is a member of a group already.
  std::string m_group_id;
  NodeId m_node;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("reply", self.m_is_reply);
    visit("instance", self.m_instance);
    visit("admin", self.m_admin);
    visit("gid", self.m_group_id);
    visit("node", self.m_node);
  }
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_WIRE_CONSENSUS_MESSAGES_H_
