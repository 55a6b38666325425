#ifndef HEMLOCKPOINT_CONSENSUS_RAFT_H_
#define HEMLOCKPOINT_CONSENSUS_RAFT_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/consensus/raft_log.h"

namespace hemlockpoint {

/// Raft as pure functions over plain state. The functions do no I/O: they
/// change a RaftState and add the required writes and messages to a RaftOutput.
///
/// The algorithm is that of Ongaro and Ousterhout, "In Search of an
/// Understandable Consensus Algorithm" (2014), with pre-vote, check-quorum and
/// single-server membership changes from Ongaro's dissertation (2014, sections
/// 4 and 6).

/// @brief Time between two heartbeat rounds of a leader.
inline constexpr Millis kRaftHeartbeatInterval(100);
/// @brief An election timeout is drawn uniformly between these bounds.
inline constexpr Millis kElectionTimeoutMin(500);
inline constexpr Millis kElectionTimeoutMax(1000);
/// @brief The same for the first election after a start. It is shorter, so that
/// a group whose members all restarted soon has a leader again. If there is a
/// leader, its followers reject the pre-vote.
inline constexpr Millis kFirstElectionTimeoutMin(150);
inline constexpr Millis kFirstElectionTimeoutMax(450);
/// @brief A leader steps down when no majority has acknowledged it for this
/// time.
inline constexpr Millis kCheckQuorumTimeout(1500);
/// @brief Maximum number of entries in one append request.
inline constexpr std::size_t kMaxAppendEntries = 64;
/// @brief Maximum total size of the entries in one append request. A single
/// larger entry is sent by itself.
inline constexpr std::size_t kMaxAppendBytes = std::size_t{512} * 1024;

using RaftMessage = std::variant<VoteRequest,
                                 VoteReply,
                                 AppendRequest,
                                 AppendReply,
                                 SnapshotRequest>;

/// @brief A message and the member that it is addressed to.
struct RaftEnvelope {
  GroupMember m_to;
  RaftMessage m_message;
};

/// @brief Term and vote. A change must be on disk before any message is sent.
struct HardState {
  std::uint64_t m_term = 0;
  /// Instance that received this member's vote in the term; empty while the
  /// vote is unused.
  std::string m_voted_for;
};

/// @brief Removes the log entries from an index on.
struct TruncateWrite {
  std::uint64_t m_from = 0;
};

/// @brief One change to the member's data on disk.
using RaftWrite =
    std::variant<HardState, TruncateWrite, LogEntry, RaftSnapshot>;

/// @brief Work that a step leaves to its caller. The caller first syncs the
/// writes to disk, then sends the messages, then restores and applies.
struct RaftOutput {
  /// Writes for the disk, in order.
  std::vector<RaftWrite> m_writes;
  std::vector<RaftEnvelope> m_outgoing;
  /// Newly committed entries to apply, in order.
  std::vector<LogEntry> m_committed;
  /// Snapshot that replaces the applied state before m_committed is applied.
  std::optional<RaftSnapshot> m_restore;
};

enum class RaftRole { kFollower, kPreCandidate, kCandidate, kLeader };

/// @brief A leader's replication state for one member of the group. The leader
/// has an entry for itself too, which is not used.
struct RaftPeer {
  /// Index of the next entry to send.
  std::uint64_t m_next_index = 1;
  /// Highest index at which the member's log is known to match the leader's.
  std::uint64_t m_match_index = 0;
  /// Newest heartbeat round that the member has acknowledged.
  std::uint64_t m_acked_round = 0;
  /// Time at which that round was sent.
  Millis m_acked_round_sent_at{-1e12};
  /// Whether a snapshot was sent and not yet acknowledged.
  bool m_is_snapshot_pending = false;
  Millis m_snapshot_sent_at;
};

/// @brief The state of one member of the group.
struct RaftState {
  /// Identifies this member's data on disk. It changes when the disk is wiped.
  std::string m_instance;
  /// Group that a member without data is joining.
  std::string m_joining_group_id;
  HardState m_hard;
  RaftLog m_log;
  LatestConfig m_config;
  /// Index of the last committed entry.
  std::uint64_t m_commit = 0;
  /// Index of the last entry that was handed out in RaftOutput::m_committed or
  /// is covered by the snapshot.
  std::uint64_t m_applied = 0;

  RaftRole m_role = RaftRole::kFollower;
  /// Instance of the leader of this term; empty when unknown.
  std::string m_leader;
  Millis m_election_deadline;
  /// Time of the last message from the leader of this term.
  Millis m_leader_heard_at{-1e12};
  /// Voters that granted this candidate's vote or pre-vote.
  std::set<std::string> m_granted_votes;
  /// Voters that refused it. The others haven't replied.
  std::set<std::string> m_refused_votes;

  /// Replication state by instance. This field and all below are used only
  /// while this member leads.
  std::map<std::string, RaftPeer> m_peers;
  /// Number of the newest heartbeat round.
  std::uint64_t m_round = 0;
  /// Time at which each recent heartbeat round was sent.
  std::map<std::uint64_t, Millis> m_round_send_times;
  Millis m_next_heartbeat_at;
  Millis m_leading_since;
  /// Index of the no-op entry that this leader appended first in its term.
  std::uint64_t m_term_start_index = 0;
};

/// @brief Initializes a member after its m_instance, m_hard and m_log were
/// loaded from disk.
/// @param random A uniform random number in [0, 1), as in all functions below.
void StartRaft(RaftState& state, double random, Millis now);

/// @brief Writes the first configuration of a new group to a member without
/// data.
/// @return Whether the member had no data, or belongs to the same group
/// already.
[[nodiscard]] bool InitGroup(RaftState& state,
                             const GroupConfig& config,
                             RaftOutput& output);

/// @brief Runs the election and heartbeat timers. Call it every 10 to 50 ms.
void TickRaft(RaftState& state, double random, Millis now, RaftOutput& output);

/// @brief Handles a message from another member. Messages of another group and
/// messages for another instance are ignored, and so are votes of an instance
/// that is not a voter, and requests for a vote while there is a leader.
void HandleRaftMessage(RaftState& state,
                       const RaftMessage& message,
                       double random,
                       Millis now,
                       RaftOutput& output);

/// @brief Appends an entry to the leader's log and replicates it.
/// @return The entry's index. Nothing when this member is not the leader, or
/// when the entry is a configuration change and either the previous change or
/// the first entry of the leader's term is uncommitted.
[[nodiscard]] std::optional<std::uint64_t> Propose(RaftState& state,
                                                   LogEntryKind kind,
                                                   const std::string& data,
                                                   Millis now,
                                                   RaftOutput& output);

/// @brief Starts a heartbeat round. Acknowledgements from a majority confirm
/// that this member was still the leader when the round was sent.
/// @return The round's number.
[[nodiscard]] std::uint64_t StartHeartbeatRound(RaftState& state,
                                                Millis now,
                                                RaftOutput& output);

/// @return Whether a majority of the voters has acknowledged a round or a later
/// one, and this leader has committed an entry of its own term. A linearizable
/// read needs both.
[[nodiscard]] bool IsRoundAckedByQuorum(const RaftState& state,
                                        std::uint64_t round);

/// @return Time since the newest heartbeat round that a majority has
/// acknowledged was sent; very long on a member that is not the leader.
[[nodiscard]] Millis QuorumAckAge(const RaftState& state, Millis now);

/// @brief Replaces the applied entries of the log by a snapshot.
/// @param data The encoded state after entry m_applied.
void CompactLog(RaftState& state, const std::string& data, RaftOutput& output);

/// @return Whether the member has the configuration of a group.
[[nodiscard]] bool IsInGroup(const RaftState& state);

/// @return Whether the member leads and has committed an entry of its term, so
/// that it knows every entry committed before.
[[nodiscard]] bool IsEstablishedLeader(const RaftState& state);

/// @return The leader's entry in this member's configuration; null when no
/// leader is known, or when this member lacks the entry that added it.
[[nodiscard]] const GroupMember* FindLeader(const RaftState& state);

/// @return The member with the given instance, or null.
[[nodiscard]] const GroupMember* FindMemberByInstance(
    const GroupConfig& config,
    const std::string& instance);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONSENSUS_RAFT_H_
