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

/// The replicated log's rules as pure functions over plain state, after
/// Ongaro and Ousterhout, "In Search of an Understandable Consensus
/// Algorithm" (2014), with pre-vote, check-quorum and single-server changes
/// of members from Ongaro's dissertation (2014, sections 4 and 6).

inline constexpr Millis kRaftHeartbeatInterval(100);
inline constexpr Millis kElectionTimeoutMin(500);
inline constexpr Millis kElectionTimeoutMax(1000);
/// @brief A leader steps down when no majority has confirmed it for so long.
inline constexpr Millis kCheckQuorumTimeout(1500);
/// @brief Entries of one message at most.
inline constexpr std::size_t kMaxAppendEntries = 64;
/// @brief Bytes of entries in one message, but for a single larger entry.
inline constexpr std::size_t kMaxAppendBytes = std::size_t{512} * 1024;

using RaftMessage = std::variant<VoteRequest,
                                 VoteReply,
                                 AppendRequest,
                                 AppendReply,
                                 SnapshotRequest>;

struct RaftEnvelope {
  GroupMember m_to;
  RaftMessage m_message;
};

/// @brief State that must be on the disk before any message leaves.
struct HardState {
  std::uint64_t m_term = 0;
  /// Instance that got this term's vote; empty when none did.
  std::string m_voted_for;
};

/// @brief Writes for the disk, in order.
struct TruncateWrite {
  std::uint64_t m_from = 0;
};
using RaftWrite =
    std::variant<HardState, TruncateWrite, LogEntry, RaftSnapshot>;

/// @brief What a step asks of its driver: first sync the writes, then send,
/// then apply.
struct RaftOutput {
  std::vector<RaftWrite> m_writes;
  std::vector<RaftEnvelope> m_outgoing;
  std::vector<LogEntry> m_committed;
  /// State to replace the applied state with, before m_committed.
  std::optional<RaftSnapshot> m_restore;
};

enum class RaftRole { kFollower, kPreCandidate, kCandidate, kLeader };

/// @brief A leader's knowledge of one other member.
struct RaftPeer {
  std::uint64_t m_next = 1;
  std::uint64_t m_match = 0;
  /// Newest round that the member has answered, and when it was sent.
  std::uint64_t m_acked_round = 0;
  Millis m_acked_round_sent_at{-1e12};
  bool m_is_snapshot_pending = false;
  Millis m_snapshot_sent_at;
};

/// @brief One member of the group.
struct RaftState {
  /// Names this member's data; another after its disk was wiped.
  std::string m_instance;
  /// Group that a blank member is being added to.
  std::string m_joining_group_id;
  HardState m_hard;
  RaftLog m_log;
  LatestConfig m_config;
  std::uint64_t m_commit = 0;
  std::uint64_t m_applied = 0;

  RaftRole m_role = RaftRole::kFollower;
  /// Instance of the leader of this term; empty when not known.
  std::string m_leader;
  Millis m_election_deadline;
  Millis m_leader_heard_at{-1e12};
  std::set<std::string> m_granted_votes;

  std::map<std::string, RaftPeer> m_peers;
  std::uint64_t m_round = 0;
  std::map<std::uint64_t, Millis> m_round_send_times;
  Millis m_next_heartbeat_at;
  Millis m_leading_since;
  /// Index of the entry with which this leader opened its term.
  std::uint64_t m_term_start_index = 0;
};

/// @brief Starts a member from what its disk holds.
void StartRaft(RaftState& state, double random, Millis now);

/// @brief Gives a blank member the first configuration of a new group.
/// @return Whether the member was blank, or has the same configuration.
[[nodiscard]] bool InitGroup(RaftState& state,
                             const GroupConfig& config,
                             RaftOutput& output);

/// @brief Advances timers; call every 10 to 50 ms.
void TickRaft(RaftState& state, double random, Millis now, RaftOutput& output);

/// @brief Takes a message of another member. One of another group, for
/// another instance, or from a former life of a member is ignored.
void HandleRaftMessage(RaftState& state,
                       const RaftMessage& message,
                       double random,
                       Millis now,
                       RaftOutput& output);

/// @brief Appends an entry at the leader.
/// @return Its index, or nothing when this member doesn't lead, or when a
/// change of members would overtake another.
[[nodiscard]] std::optional<std::uint64_t> Propose(RaftState& state,
                                                   EntryKind kind,
                                                   const std::string& data,
                                                   Millis now,
                                                   RaftOutput& output);

/// @brief Starts a round whose answers prove the leadership afterwards.
/// @return The round's number.
[[nodiscard]] std::uint64_t StartHeartbeatRound(RaftState& state,
                                                Millis now,
                                                RaftOutput& output);

/// @return Whether a majority has answered a round, and this leader knows
/// everything that was committed before it.
[[nodiscard]] bool IsRoundAckedByQuorum(const RaftState& state,
                                        std::uint64_t round);

/// @return Time since a round was sent that a majority has answered.
[[nodiscard]] Millis QuorumAckAge(const RaftState& state, Millis now);

/// @brief Puts a snapshot of the applied state in place of old entries.
void CompactLog(RaftState& state, const std::string& data, RaftOutput& output);

/// @return Whether the member has data of a group.
[[nodiscard]] bool IsInGroup(const RaftState& state);

/// @return The member of an instance, or null.
[[nodiscard]] const GroupMember* FindMemberByInstance(
    const GroupConfig& config,
    const std::string& instance);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONSENSUS_RAFT_H_
