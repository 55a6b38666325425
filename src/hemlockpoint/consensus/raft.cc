#include "hemlockpoint/consensus/raft.h"

#include <algorithm>
#include <utility>

#include "hemlockpoint/consensus/raft_internal.h"
#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

using internal::AdvanceCommitIndex;
using internal::AppendEntry;
using internal::BecomeFollower;
using internal::HandleMessage;
using internal::HasRecentLeader;
using internal::IsVoter;
using internal::ReplicateToAll;
using internal::ResetElectionTimer;
using internal::StartPreVote;
using internal::VoterMajoritySize;

namespace {

// Bounds RaftState::m_round_send_times. An acknowledgement of an older round
// doesn't advance RaftPeer::m_acked_round_sent_at.
constexpr std::size_t kMaxTrackedRounds = 64;

bool IsAddressedToThisMember(const RaftState& state, const RaftHeader& header) {
  return header.m_group_id == state.m_config.m_config.m_group_id &&
         header.m_to_instance == state.m_instance;
}

// Whose vote counts is decided by the candidate's configuration. The receiver
// of a request may lack the entries that made the candidate a voter (Ongaro's
// dissertation, section 4.2.2). Instead, a request is ignored while there is a
// leader, so that a removed member can't disturb the group (section 4.2.3).
// Pre-votes are rejected then, but answered, since the answer tells a candidate
// the term.
bool IsIgnoredVote(const RaftState& state,
                   const VoteRequest& request,
                   Millis now) {
  return !request.m_pre_vote && HasRecentLeader(state, now);
}

bool IsIgnoredVote(const RaftState& state, const VoteReply& reply, Millis) {
  return !IsVoter(state, reply.m_header.m_from_instance);
}

template <typename Message>
bool IsIgnoredVote(const RaftState&, const Message&, Millis) {
  return false;
}

void TickLeader(RaftState& state,
                double random,
                Millis now,
                RaftOutput& output) {
  const bool removed = FindMemberByInstance(state.m_config.m_config,
                                            state.m_instance) == nullptr &&
                       state.m_config.m_index <= state.m_commit;
  const bool lost_quorum = QuorumAckAge(state, now) > kCheckQuorumTimeout &&
                           now - state.m_leading_since > kCheckQuorumTimeout;
  if (removed || lost_quorum) {
    BecomeFollower(state, state.m_hard.m_term, random, now, output);
    return;
  }
  if (now >= state.m_next_heartbeat_at) {
    state.m_next_heartbeat_at = now + kRaftHeartbeatInterval;
    for (auto& [instance, peer] : state.m_peers) {
      peer.m_next_index = peer.m_match_index + 1;
    }
    (void)StartHeartbeatRound(state, now, output);
  }
}

}  // namespace

void StartRaft(RaftState& state, double random, Millis now) {
  state.m_config = FindLatestConfig(state.m_log);
  state.m_commit = state.m_log.m_snapshot.m_index;
  state.m_applied = state.m_log.m_snapshot.m_index;
  state.m_role = RaftRole::kFollower;
  const Millis spread = kFirstElectionTimeoutMax - kFirstElectionTimeoutMin;
  state.m_election_deadline = now + kFirstElectionTimeoutMin + spread * random;
}

bool InitGroup(RaftState& state,
               const GroupConfig& config,
               RaftOutput& output) {
  if (IsInGroup(state)) {
    return state.m_config.m_config.m_group_id == config.m_group_id;
  }
  LogEntry entry;
  entry.m_index = 1;
  entry.m_term = 0;
  entry.m_kind = LogEntryKind::kConfig;
  entry.m_data.m_data = EncodeFields(config);
  AppendEntry(state, std::move(entry), output);
  return true;
}

void TickRaft(RaftState& state, double random, Millis now, RaftOutput& output) {
  if (state.m_role == RaftRole::kLeader) {
    TickLeader(state, random, now, output);
    return;
  }
  if (now < state.m_election_deadline) {
    return;
  }
  if (!IsVoter(state, state.m_instance)) {
    // A voter forgets a silent leader when it starts an election.
    state.m_leader.clear();
    return;
  }
  ResetElectionTimer(state, random, now);
  StartPreVote(state, now, output);
}

void HandleRaftMessage(RaftState& state,
                       const RaftMessage& message,
                       double random,
                       Millis now,
                       RaftOutput& output) {
  std::visit(
      [&](const auto& value) {
        using Type = std::decay_t<decltype(value)>;
        const RaftHeader& header = value.m_header;
        // A member without data joins the group of a leader that addresses it
        // by its instance.
        const bool is_joining = !IsInGroup(state) &&
                                header.m_to_instance == state.m_instance &&
                                (std::is_same_v<Type, AppendRequest> ||
                                 std::is_same_v<Type, SnapshotRequest>);
        if (!is_joining && !IsAddressedToThisMember(state, header)) {
          return;
        }
        if (IsIgnoredVote(state, value, now)) {
          return;
        }
        if (is_joining) {
          state.m_joining_group_id = header.m_group_id;
        }
        // A pre-vote request and a granted reply must not raise the
        // receiver's term. A rejected pre-vote may: its sender has a newer
        // term.
        bool pre_vote = false;
        if constexpr (std::is_same_v<Type, VoteRequest>) {
          pre_vote = value.m_pre_vote;
        } else if constexpr (std::is_same_v<Type, VoteReply>) {
          pre_vote = value.m_pre_vote && value.m_granted;
        }
        if (header.m_term > state.m_hard.m_term && !pre_vote) {
          BecomeFollower(state, header.m_term, random, now, output);
        }
        HandleMessage(state, value, random, now, output);
      },
      message);
}

std::optional<std::uint64_t> Propose(RaftState& state,
                                     LogEntryKind kind,
                                     const std::string& data,
                                     Millis now,
                                     RaftOutput& output) {
  const bool config_pending = state.m_config.m_index > state.m_commit ||
                              state.m_commit < state.m_term_start_index;
  if (state.m_role != RaftRole::kLeader ||
      (kind == LogEntryKind::kConfig && config_pending)) {
    return std::nullopt;
  }
  LogEntry entry;
  entry.m_index = LastIndex(state.m_log) + 1;
  entry.m_term = state.m_hard.m_term;
  entry.m_kind = kind;
  entry.m_data.m_data = data;
  const std::uint64_t index = entry.m_index;
  AppendEntry(state, std::move(entry), output);
  ReplicateToAll(state, now, output);
  AdvanceCommitIndex(state, output);
  return index;
}

std::uint64_t StartHeartbeatRound(RaftState& state,
                                  Millis now,
                                  RaftOutput& output) {
  ++state.m_round;
  state.m_round_send_times[state.m_round] = now;
  while (state.m_round_send_times.size() > kMaxTrackedRounds) {
    state.m_round_send_times.erase(state.m_round_send_times.begin());
  }
  ReplicateToAll(state, now, output);
  return state.m_round;
}

bool IsRoundAckedByQuorum(const RaftState& state, std::uint64_t round) {
  if (state.m_role != RaftRole::kLeader ||
      state.m_commit < state.m_term_start_index) {
    return false;
  }
  std::size_t acks = 0;
  for (const GroupMember& member : state.m_config.m_config.m_members) {
    const auto peer = state.m_peers.find(member.m_instance);
    const bool self = member.m_instance == state.m_instance;
    const bool acked = self || (peer != state.m_peers.end() &&
                                peer->second.m_acked_round >= round);
    acks += member.m_is_voter && acked ? 1 : 0;
  }
  return acks >= VoterMajoritySize(state);
}

Millis QuorumAckAge(const RaftState& state, Millis now) {
  std::vector<Millis> sent_times;
  for (const GroupMember& member : state.m_config.m_config.m_members) {
    if (!member.m_is_voter) {
      continue;
    }
    const bool self = member.m_instance == state.m_instance;
    const auto peer = state.m_peers.find(member.m_instance);
    Millis sent_at(-1e12);
    if (self) {
      sent_at = now;
    } else if (peer != state.m_peers.end()) {
      sent_at = peer->second.m_acked_round_sent_at;
    }
    sent_times.push_back(sent_at);
  }
  if (state.m_role != RaftRole::kLeader || sent_times.empty()) {
    return Millis(1e12);
  }
  std::sort(sent_times.begin(), sent_times.end(),
            [](Millis a, Millis b) { return a > b; });
  return now - sent_times[sent_times.size() / 2];
}

void CompactLog(RaftState& state, const std::string& data, RaftOutput& output) {
  RaftSnapshot snapshot;
  snapshot.m_index = state.m_applied;
  const auto term = TermAt(state.m_log, state.m_applied);
  if (!term || state.m_applied == state.m_log.m_snapshot.m_index) {
    return;
  }
  snapshot.m_term = *term;
  snapshot.m_data = data;
  // The snapshot has the configuration as of its last entry. Later
  // configuration changes stay in the log.
  RaftLog truncated_log = state.m_log;
  TruncateFrom(truncated_log, state.m_applied + 1);
  snapshot.m_config = FindLatestConfig(truncated_log).m_config;
  output.m_writes.emplace_back(snapshot);
  InstallSnapshot(state.m_log, std::move(snapshot));
  state.m_config = FindLatestConfig(state.m_log);
}

bool IsInGroup(const RaftState& state) {
  return !state.m_config.m_config.m_group_id.empty();
}

bool IsEstablishedLeader(const RaftState& state) {
  return state.m_role == RaftRole::kLeader &&
         state.m_commit >= state.m_term_start_index;
}

const GroupMember* FindLeader(const RaftState& state) {
  return FindMemberByInstance(state.m_config.m_config, state.m_leader);
}

const GroupMember* FindMemberByInstance(const GroupConfig& config,
                                        const std::string& instance) {
  for (const GroupMember& member : config.m_members) {
    if (member.m_instance == instance) {
      return &member;
    }
  }
  return nullptr;
}

}  // namespace hemlockpoint
