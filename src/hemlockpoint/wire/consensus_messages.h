#ifndef HEMLOCKPOINT_WIRE_CONSENSUS_MESSAGES_H_
#define HEMLOCKPOINT_WIRE_CONSENSUS_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/wire/call_messages.h"

namespace hemlockpoint {

/// @brief Content of an entry of the replicated log.
enum class LogEntryKind : unsigned char {
  /// No content. A new leader appends one; once it commits, all entries of
  /// earlier terms are known to be committed.
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

/// @brief One process of the control group.
struct GroupMember {
  NodeId m_node;
  /// Identifies the content of the data folder. A host whose disk was wiped
  /// has a new instance and is another member.
  std::string m_instance;
  /// "ADDRESS:PORT" of the peer listener.
  std::string m_peer;
  /// "ADDRESS:PORT" of the HTTP listener for operators.
  std::string m_admin;
  /// Voters count towards a majority; other members only receive the log.
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
  /// Unique id of the group. Two groups of the same name have different ids.
  std::string m_group_id;
  /// SHA-256 of the token that authorizes changes of the group and of the
  /// first section of the policy document.
  std::string m_admin_token_sha256;
  std::vector<GroupMember> m_members;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("group_id", self.m_group_id);
    visit("admin", self.m_admin_token_sha256);
    visit("members", self.m_members);
  }
};

/// @brief Sender, receiver and term of a consensus message.
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

/// @brief Asks for a vote, or in a pre-vote whether one would be granted.
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

/// @brief Reply to a VoteRequest.
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

/// @brief Replicates log entries; without entries it is a heartbeat.
struct AppendRequest {
  static constexpr const char* kType = "append";
  RaftHeader m_header;
  std::uint64_t m_previous_index = 0;
  std::uint64_t m_previous_term = 0;
  std::vector<LogEntry> m_entries;
  std::uint64_t m_commit = 0;
  /// Number of the leader's heartbeat round. The reply repeats it, which
  /// confirms the leader as of that round.
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

/// @brief Reply to an AppendRequest or a SnapshotRequest.
struct AppendReply {
  static constexpr const char* kType = "append_reply";
  RaftHeader m_header;
  bool m_success = false;
  /// On success the index of the last entry that matches the leader's log; on
  /// failure the index that the leader tries next as the previous one.
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

/// @brief The state up to a log entry. Replaces the entries that the leader
/// has discarded.
struct SnapshotRequest {
  static constexpr const char* kType = "snapshot";
  RaftHeader m_header;
  /// Index and term of the last entry that the snapshot includes.
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

/// @brief Initializes a control host without data as a member of a new group.
struct GroupInit {
  static constexpr const char* kType = "group_init";
  GroupConfig m_config;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("config", self.m_config);
  }
};

/// @brief Asks a control host for its instance; also the reply to this query.
struct InstanceQuery {
  static constexpr const char* kType = "instance_query";
  bool m_is_reply = false;
  std::string m_instance;
  std::string m_admin;
  /// Group that the host is a member of; empty for none.
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
