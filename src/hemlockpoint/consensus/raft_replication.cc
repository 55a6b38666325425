// Replication of log entries and snapshots, and commitment.

#include "hemlockpoint/consensus/raft_internal.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint::internal {

namespace {

constexpr Millis kSnapshotResendInterval(2000);

}  // namespace

// A leader counts replicas only for entries of its own term. Entries of
// earlier terms are committed together with such an entry.
void AdvanceCommitIndex(RaftState& state, RaftOutput& output) {
  std::vector<std::uint64_t> match_indexes;
  for (const GroupMember& member : state.m_config.m_config.m_members) {
    if (!member.m_is_voter) {
      continue;
    }
    const bool self = member.m_instance == state.m_instance;
    match_indexes.push_back(
        self ? LastIndex(state.m_log)
             : state.m_peers[member.m_instance].m_match_index);
  }
  if (match_indexes.empty()) {
    return;
  }
  std::sort(match_indexes.rbegin(), match_indexes.rend());
  const std::uint64_t majority_index = match_indexes[match_indexes.size() / 2];
  if (majority_index > state.m_commit &&
      TermAt(state.m_log, majority_index) == state.m_hard.m_term) {
    CommitUpTo(state, majority_index, output);
  }
}

namespace {

void SendSnapshot(RaftState& state,
                  const std::string& instance,
                  RaftPeer& peer,
                  Millis now,
                  RaftOutput& output) {
  if (peer.m_is_snapshot_pending &&
      now - peer.m_snapshot_sent_at < kSnapshotResendInterval) {
    return;
  }
  peer.m_is_snapshot_pending = true;
  peer.m_snapshot_sent_at = now;
  const RaftSnapshot& snapshot = state.m_log.m_snapshot;
  SnapshotRequest request;
  request.m_index = snapshot.m_index;
  request.m_index_term = snapshot.m_term;
  request.m_config = snapshot.m_config;
  request.m_data.m_data = snapshot.m_data;
  request.m_round = state.m_round;
  QueueMessage(state, instance, std::move(request), output);
}

void ReplicateTo(RaftState& state,
                 const std::string& instance,
                 Millis now,
                 RaftOutput& output) {
  RaftPeer& peer = state.m_peers[instance];
  const std::uint64_t previous = peer.m_next_index - 1;
  const auto previous_term = TermAt(state.m_log, previous);
  if (!previous_term) {
    SendSnapshot(state, instance, peer, now, output);
    return;
  }
  AppendRequest request;
  request.m_previous_index = previous;
  request.m_previous_term = *previous_term;
  request.m_commit = state.m_commit;
  request.m_round = state.m_round;
  std::size_t bytes = 0;
  for (std::uint64_t i = peer.m_next_index; i <= LastIndex(state.m_log); ++i) {
    const LogEntry* entry = EntryAt(state.m_log, i);
    bytes += entry->m_data.m_data.size();
    const bool full = request.m_entries.size() >= kMaxAppendEntries ||
                      (bytes > kMaxAppendBytes && !request.m_entries.empty());
    if (full) {
      break;
    }
    request.m_entries.push_back(*entry);
  }
  // Optimistic pipelining: the next request continues after the entries sent
  // here. A rejection moves m_next_index back, and the next heartbeat resets it
  // to the first unacknowledged entry.
  peer.m_next_index += request.m_entries.size();
  QueueMessage(state, instance, std::move(request), output);
}

}  // namespace

void ReplicateToAll(RaftState& state, Millis now, RaftOutput& output) {
  for (const GroupMember& member : state.m_config.m_config.m_members) {
    if (member.m_instance != state.m_instance) {
      ReplicateTo(state, member.m_instance, now, output);
    }
  }
}

namespace {

void ReplyToAppend(const RaftState& state,
                   const RaftHeader& header,
                   bool success,
                   std::uint64_t match,
                   std::uint64_t round,
                   RaftOutput& output) {
  AppendReply reply;
  reply.m_success = success;
  reply.m_match = match;
  reply.m_round = round;
  QueueMessage(state, header.m_from_instance, reply, output);
}

// Follows the sender of an append or snapshot request as the leader of its
// term. Returns false when the sender's term is out of date.
bool TryFollowLeader(RaftState& state,
                     const RaftHeader& header,
                     double random,
                     Millis now,
                     RaftOutput& output) {
  if (header.m_term < state.m_hard.m_term) {
    return false;
  }
  BecomeFollower(state, header.m_term, random, now, output);
  state.m_leader = header.m_from_instance;
  state.m_leader_heard_at = now;
  return true;
}

void StoreEntries(RaftState& state,
                  const std::vector<LogEntry>& entries,
                  RaftOutput& output) {
  for (const LogEntry& entry : entries) {
    if (entry.m_index <= state.m_log.m_snapshot.m_index) {
      continue;
    }
    const auto term = TermAt(state.m_log, entry.m_index);
    if (term == entry.m_term) {
      continue;
    }
    if (term) {
      TruncateFrom(state.m_log, entry.m_index);
      output.m_writes.emplace_back(TruncateWrite{entry.m_index});
      state.m_config = FindLatestConfig(state.m_log);
    }
    AppendEntry(state, entry, output);
  }
}

}  // namespace

void HandleMessage(RaftState& state,
                   const AppendRequest& request,
                   double random,
                   Millis now,
                   RaftOutput& output) {
  if (!TryFollowLeader(state, request.m_header, random, now, output)) {
    ReplyToAppend(state, request.m_header, false, 0, 0, output);
    return;
  }
  const std::uint64_t previous = request.m_previous_index;
  const bool is_covered_by_snapshot = previous < state.m_log.m_snapshot.m_index;
  const auto term = TermAt(state.m_log, previous);
  if (!is_covered_by_snapshot && term != request.m_previous_term) {
    const std::uint64_t last_possible_match =
        std::min(previous == 0 ? 0 : previous - 1, LastIndex(state.m_log));
    ReplyToAppend(state, request.m_header, false, last_possible_match,
                  request.m_round, output);
    return;
  }
  StoreEntries(state, request.m_entries, output);
  const std::uint64_t match = std::max(state.m_log.m_snapshot.m_index,
                                       previous + request.m_entries.size());
  CommitUpTo(state, std::min(request.m_commit, match), output);
  ReplyToAppend(state, request.m_header, true, match, request.m_round, output);
}

void HandleMessage(RaftState& state,
                   const SnapshotRequest& request,
                   double random,
                   Millis now,
                   RaftOutput& output) {
  if (!TryFollowLeader(state, request.m_header, random, now, output)) {
    ReplyToAppend(state, request.m_header, false, 0, 0, output);
    return;
  }
  if (request.m_index > state.m_commit) {
    RaftSnapshot snapshot;
    snapshot.m_index = request.m_index;
    snapshot.m_term = request.m_index_term;
    snapshot.m_config = request.m_config;
    snapshot.m_data = request.m_data.m_data;
    output.m_writes.emplace_back(snapshot);
    output.m_restore = snapshot;
    output.m_committed.clear();
    InstallSnapshot(state.m_log, std::move(snapshot));
    state.m_config = FindLatestConfig(state.m_log);
    state.m_commit = request.m_index;
    state.m_applied = request.m_index;
  }
  ReplyToAppend(state, request.m_header, true, request.m_index, request.m_round,
                output);
}

namespace {

void RecordRoundAck(RaftState& state, RaftPeer& peer, std::uint64_t round) {
  if (round <= peer.m_acked_round) {
    return;
  }
  peer.m_acked_round = round;
  const auto sent = state.m_round_send_times.find(round);
  if (sent != state.m_round_send_times.end()) {
    peer.m_acked_round_sent_at = sent->second;
  }
}

// Makes a learner (a non-voting member) a voter once it has all committed
// entries.
void PromoteLearner(RaftState& state,
                    const std::string& instance,
                    const RaftPeer& peer,
                    Millis now,
                    RaftOutput& output) {
  GroupConfig config = state.m_config.m_config;
  for (GroupMember& member : config.m_members) {
    const bool caught_up = member.m_instance == instance &&
                           !member.m_is_voter &&
                           peer.m_match_index >= state.m_commit;
    if (caught_up) {
      member.m_is_voter = true;
      (void)Propose(state, LogEntryKind::kConfig, EncodeFields(config), now,
                    output);
      return;
    }
  }
}

}  // namespace

void HandleMessage(RaftState& state,
                   const AppendReply& reply,
                   double,
                   Millis now,
                   RaftOutput& output) {
  if (state.m_role != RaftRole::kLeader ||
      reply.m_header.m_term != state.m_hard.m_term) {
    return;
  }
  const std::string& instance = reply.m_header.m_from_instance;
  RaftPeer& peer = state.m_peers[instance];
  RecordRoundAck(state, peer, reply.m_round);
  if (!reply.m_success) {
    peer.m_next_index = std::max<std::uint64_t>(
        1, std::min(peer.m_next_index, reply.m_match + 1));
    ReplicateTo(state, instance, now, output);
    return;
  }
  peer.m_is_snapshot_pending = false;
  peer.m_match_index = std::max(peer.m_match_index, reply.m_match);
  peer.m_next_index = std::max(peer.m_next_index, peer.m_match_index + 1);
  const std::uint64_t previous_commit = state.m_commit;
  AdvanceCommitIndex(state, output);
  PromoteLearner(state, instance, peer, now, output);
  if (state.m_commit > previous_commit) {
    ReplicateToAll(state, now, output);
  } else if (peer.m_next_index <= LastIndex(state.m_log)) {
    ReplicateTo(state, instance, now, output);
  }
}

}  // namespace hemlockpoint::internal
