#include "hemlockpoint/consensus/raft.h"

#include <algorithm>
#include <utility>

#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

namespace {

constexpr Millis kSnapshotResendAfter(2000);
// Rounds are remembered for as long as they can still prove anything.
constexpr std::size_t kMaxRounds = 64;

std::size_t CountVoters(const GroupConfig& config) {
  return static_cast<std::size_t>(
      std::count_if(config.m_members.begin(), config.m_members.end(),
                    [](const GroupMember& member) { return member.m_voter; }));
}

std::size_t Majority(const RaftState& state) {
  return CountVoters(state.m_config.m_config) / 2 + 1;
}

bool IsVoter(const RaftState& state, const std::string& instance) {
  const GroupMember* member = FindInstance(state.m_config.m_config, instance);
  return member != nullptr && member->m_voter;
}

RaftStamp StampFor(const RaftState& state, const GroupMember& to) {
  RaftStamp stamp;
  stamp.m_group_id = IsInGroup(state) ? state.m_config.m_config.m_group_id
                                      : state.m_joining_group;
  stamp.m_from_instance = state.m_instance;
  stamp.m_to_instance = to.m_instance;
  stamp.m_term = state.m_hard.m_term;
  return stamp;
}

void SendTo(const RaftState& state,
            const std::string& instance,
            RaftMessage message,
            RaftOutput& output) {
  const GroupMember* member = FindInstance(state.m_config.m_config, instance);
  GroupMember to;
  if (member != nullptr) {
    to = *member;
  } else {
    // A joining member doesn't know the leader yet; its driver answers on the
    // link that the leader opened.
    to.m_instance = instance;
  }
  std::visit([&](auto& value) { value.m_stamp = StampFor(state, to); },
             message);
  output.m_send.push_back({std::move(to), std::move(message)});
}

void ResetElectionTimer(RaftState& state, double random, Millis now) {
  const Millis spread = kElectionTimeoutMax - kElectionTimeoutMin;
  state.m_election_deadline = now + kElectionTimeoutMin + spread * random;
}

void WriteHardState(const RaftState& state, RaftOutput& output) {
  output.m_writes.emplace_back(state.m_hard);
}

void BecomeFollower(RaftState& state,
                    std::uint64_t term,
                    double random,
                    Millis now,
                    RaftOutput& output) {
  if (term > state.m_hard.m_term) {
    state.m_hard = {term, ""};
    state.m_leader.clear();
    WriteHardState(state, output);
  }
  if (state.m_role == RaftRole::kLeader) {
    state.m_leader.clear();
  }
  state.m_role = RaftRole::kFollower;
  ResetElectionTimer(state, random, now);
}

void AppendEntry(RaftState& state, LogEntry entry, RaftOutput& output) {
  const bool config = entry.m_kind == EntryKind::kConfig;
  output.m_writes.emplace_back(entry);
  state.m_log.m_entries.push_back(std::move(entry));
  if (config) {
    state.m_config = FindConfig(state.m_log);
  }
}

void TakeCommitted(RaftState& state, std::uint64_t commit, RaftOutput& output) {
  state.m_commit =
      std::max(state.m_commit, std::min(commit, LastIndex(state.m_log)));
  while (state.m_applied < state.m_commit) {
    const LogEntry* entry = EntryAt(state.m_log, state.m_applied + 1);
    if (entry == nullptr) {
      return;
    }
    output.m_committed.push_back(*entry);
    ++state.m_applied;
  }
}

// Entries of former terms are committed only together with one of this term.
void AdvanceCommit(RaftState& state, RaftOutput& output) {
  std::vector<std::uint64_t> matches;
  for (const GroupMember& member : state.m_config.m_config.m_members) {
    if (!member.m_voter) {
      continue;
    }
    const bool self = member.m_instance == state.m_instance;
    matches.push_back(self ? LastIndex(state.m_log)
                           : state.m_peers[member.m_instance].m_match);
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.rbegin(), matches.rend());
  const std::uint64_t agreed = matches[matches.size() / 2];
  if (agreed > state.m_commit &&
      TermAt(state.m_log, agreed) == state.m_hard.m_term) {
    TakeCommitted(state, agreed, output);
  }
}

void SendSnapshot(RaftState& state,
                  const std::string& instance,
                  RaftPeer& peer,
                  Millis now,
                  RaftOutput& output) {
  if (peer.m_snapshot_sent &&
      now - peer.m_snapshot_time < kSnapshotResendAfter) {
    return;
  }
  peer.m_snapshot_sent = true;
  peer.m_snapshot_time = now;
  const RaftSnapshot& snapshot = state.m_log.m_snapshot;
  SnapshotRequest request;
  request.m_index = snapshot.m_index;
  request.m_index_term = snapshot.m_term;
  request.m_config = snapshot.m_config;
  request.m_data.m_data = snapshot.m_data;
  request.m_round = state.m_round;
  SendTo(state, instance, std::move(request), output);
}

void SendAppend(RaftState& state,
                const std::string& instance,
                Millis now,
                RaftOutput& output) {
  RaftPeer& peer = state.m_peers[instance];
  const std::uint64_t previous = peer.m_next - 1;
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
  for (std::uint64_t i = peer.m_next; i <= LastIndex(state.m_log); ++i) {
    const LogEntry* entry = EntryAt(state.m_log, i);
    bytes += entry->m_data.m_data.size();
    const bool full = request.m_entries.size() >= kMaxAppendEntries ||
                      (bytes > kMaxAppendBytes && !request.m_entries.empty());
    if (full) {
      break;
    }
    request.m_entries.push_back(*entry);
  }
  // What was sent counts as received until the member says otherwise; the
  // next heartbeat starts again from what it has confirmed.
  peer.m_next += request.m_entries.size();
  SendTo(state, instance, std::move(request), output);
}

void SendToAll(RaftState& state, Millis now, RaftOutput& output) {
  for (const GroupMember& member : state.m_config.m_config.m_members) {
    if (member.m_instance != state.m_instance) {
      SendAppend(state, member.m_instance, now, output);
    }
  }
}

void BecomeLeader(RaftState& state, Millis now, RaftOutput& output) {
  state.m_role = RaftRole::kLeader;
  state.m_leader = state.m_instance;
  state.m_peers.clear();
  state.m_round_times.clear();
  state.m_leader_since = now;
  for (const GroupMember& member : state.m_config.m_config.m_members) {
    state.m_peers[member.m_instance].m_next = LastIndex(state.m_log) + 1;
  }
  LogEntry noop;
  noop.m_index = LastIndex(state.m_log) + 1;
  noop.m_term = state.m_hard.m_term;
  state.m_term_start = noop.m_index;
  AppendEntry(state, std::move(noop), output);
  (void)StartRound(state, now, output);
  state.m_next_heartbeat = now + kRaftHeartbeat;
  AdvanceCommit(state, output);
}

void SendVoteRequests(RaftState& state, bool pre_vote, RaftOutput& output) {
  for (const GroupMember& member : state.m_config.m_config.m_members) {
    if (!member.m_voter || member.m_instance == state.m_instance) {
      continue;
    }
    VoteRequest request;
    request.m_pre_vote = pre_vote;
    request.m_last_index = LastIndex(state.m_log);
    request.m_last_term = LastTerm(state.m_log);
    SendTo(state, member.m_instance, request, output);
  }
}

void StartElection(RaftState& state, Millis now, RaftOutput& output) {
  state.m_role = RaftRole::kCandidate;
  state.m_leader.clear();
  state.m_hard = {state.m_hard.m_term + 1, state.m_instance};
  WriteHardState(state, output);
  state.m_votes = {state.m_instance};
  if (state.m_votes.size() >= Majority(state)) {
    BecomeLeader(state, now, output);
    return;
  }
  SendVoteRequests(state, false, output);
}

// Asks first whether an election could be won, so that a member which was
// cut off doesn't disturb the leader with a higher term.
void StartPreVote(RaftState& state, Millis now, RaftOutput& output) {
  state.m_role = RaftRole::kPreCandidate;
  state.m_leader.clear();
  state.m_votes = {state.m_instance};
  if (state.m_votes.size() >= Majority(state)) {
    StartElection(state, now, output);
    return;
  }
  SendVoteRequests(state, true, output);
}

bool IsLogCurrent(const RaftState& state, const VoteRequest& request) {
  const std::uint64_t term = LastTerm(state.m_log);
  return request.m_last_term > term ||
         (request.m_last_term == term &&
          request.m_last_index >= LastIndex(state.m_log));
}

bool HasLiveLeader(const RaftState& state, Millis now) {
  return state.m_role == RaftRole::kLeader ||
         now - state.m_leader_heard < kElectionTimeoutMin;
}

void Receive(RaftState& state,
             const VoteRequest& request,
             double random,
             Millis now,
             RaftOutput& output) {
  const std::string& candidate = request.m_stamp.m_from_instance;
  VoteReply reply;
  reply.m_pre_vote = request.m_pre_vote;
  if (request.m_pre_vote) {
    reply.m_granted = IsLogCurrent(state, request) &&
                      !HasLiveLeader(state, now) &&
                      request.m_stamp.m_term >= state.m_hard.m_term;
  } else {
    const bool free_vote = state.m_hard.m_voted_for.empty() ||
                           state.m_hard.m_voted_for == candidate;
    reply.m_granted = request.m_stamp.m_term == state.m_hard.m_term &&
                      state.m_role == RaftRole::kFollower && free_vote &&
                      IsLogCurrent(state, request);
    if (reply.m_granted) {
      state.m_hard.m_voted_for = candidate;
      WriteHardState(state, output);
      ResetElectionTimer(state, random, now);
    }
  }
  SendTo(state, candidate, reply, output);
}

void Receive(RaftState& state,
             const VoteReply& reply,
             double,
             Millis now,
             RaftOutput& output) {
  const RaftRole expected =
      reply.m_pre_vote ? RaftRole::kPreCandidate : RaftRole::kCandidate;
  const std::string& voter = reply.m_stamp.m_from_instance;
  if (state.m_role != expected || !reply.m_granted || !IsVoter(state, voter) ||
      (!reply.m_pre_vote && reply.m_stamp.m_term != state.m_hard.m_term)) {
    return;
  }
  state.m_votes.insert(voter);
  if (state.m_votes.size() < Majority(state)) {
    return;
  }
  if (reply.m_pre_vote) {
    StartElection(state, now, output);
  } else {
    BecomeLeader(state, now, output);
  }
}

void ReplyToAppend(const RaftState& state,
                   const RaftStamp& stamp,
                   bool success,
                   std::uint64_t match,
                   std::uint64_t round,
                   RaftOutput& output) {
  AppendReply reply;
  reply.m_success = success;
  reply.m_match = match;
  reply.m_round = round;
  SendTo(state, stamp.m_from_instance, reply, output);
}

// Follows the sender, which leads this term.
bool FollowLeader(RaftState& state,
                  const RaftStamp& stamp,
                  double random,
                  Millis now,
                  RaftOutput& output) {
  if (stamp.m_term < state.m_hard.m_term) {
    return false;
  }
  BecomeFollower(state, stamp.m_term, random, now, output);
  state.m_leader = stamp.m_from_instance;
  state.m_leader_heard = now;
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
      state.m_config = FindConfig(state.m_log);
    }
    AppendEntry(state, entry, output);
  }
}

void Receive(RaftState& state,
             const AppendRequest& request,
             double random,
             Millis now,
             RaftOutput& output) {
  if (!FollowLeader(state, request.m_stamp, random, now, output)) {
    ReplyToAppend(state, request.m_stamp, false, 0, 0, output);
    return;
  }
  const std::uint64_t previous = request.m_previous_index;
  const bool covered = previous < state.m_log.m_snapshot.m_index;
  const auto term = TermAt(state.m_log, previous);
  if (!covered && term != request.m_previous_term) {
    const std::uint64_t hint =
        std::min(previous == 0 ? 0 : previous - 1, LastIndex(state.m_log));
    ReplyToAppend(state, request.m_stamp, false, hint, request.m_round, output);
    return;
  }
  StoreEntries(state, request.m_entries, output);
  const std::uint64_t match = std::max(state.m_log.m_snapshot.m_index,
                                       previous + request.m_entries.size());
  TakeCommitted(state, std::min(request.m_commit, match), output);
  ReplyToAppend(state, request.m_stamp, true, match, request.m_round, output);
}

void Receive(RaftState& state,
             const SnapshotRequest& request,
             double random,
             Millis now,
             RaftOutput& output) {
  if (!FollowLeader(state, request.m_stamp, random, now, output)) {
    ReplyToAppend(state, request.m_stamp, false, 0, 0, output);
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
    PutSnapshot(state.m_log, std::move(snapshot));
    state.m_config = FindConfig(state.m_log);
    state.m_commit = request.m_index;
    state.m_applied = request.m_index;
  }
  ReplyToAppend(state, request.m_stamp, true, request.m_index, request.m_round,
                output);
}

void RecordAck(RaftState& state, RaftPeer& peer, std::uint64_t round) {
  if (round <= peer.m_acked_round) {
    return;
  }
  peer.m_acked_round = round;
  const auto sent = state.m_round_times.find(round);
  if (sent != state.m_round_times.end()) {
    peer.m_acked_sent = sent->second;
  }
}

// A learner that has caught up starts to count in majorities.
void PromoteLearner(RaftState& state,
                    const std::string& instance,
                    const RaftPeer& peer,
                    Millis now,
                    RaftOutput& output) {
  GroupConfig config = state.m_config.m_config;
  for (GroupMember& member : config.m_members) {
    const bool caught_up = member.m_instance == instance && !member.m_voter &&
                           peer.m_match >= state.m_commit;
    if (caught_up) {
      member.m_voter = true;
      (void)Propose(state, EntryKind::kConfig, EncodeFields(config), now,
                    output);
      return;
    }
  }
}

void Receive(RaftState& state,
             const AppendReply& reply,
             double,
             Millis now,
             RaftOutput& output) {
  if (state.m_role != RaftRole::kLeader ||
      reply.m_stamp.m_term != state.m_hard.m_term) {
    return;
  }
  const std::string& instance = reply.m_stamp.m_from_instance;
  RaftPeer& peer = state.m_peers[instance];
  RecordAck(state, peer, reply.m_round);
  if (!reply.m_success) {
    peer.m_next =
        std::max<std::uint64_t>(1, std::min(peer.m_next, reply.m_match + 1));
    SendAppend(state, instance, now, output);
    return;
  }
  peer.m_snapshot_sent = false;
  peer.m_match = std::max(peer.m_match, reply.m_match);
  peer.m_next = std::max(peer.m_next, peer.m_match + 1);
  const std::uint64_t before = state.m_commit;
  AdvanceCommit(state, output);
  PromoteLearner(state, instance, peer, now, output);
  if (state.m_commit > before) {
    SendToAll(state, now, output);
  } else if (peer.m_next <= LastIndex(state.m_log)) {
    SendAppend(state, instance, now, output);
  }
}

bool IsForThisMember(const RaftState& state, const RaftStamp& stamp) {
  return stamp.m_group_id == state.m_config.m_config.m_group_id &&
         stamp.m_to_instance == state.m_instance;
}

void TickLeader(RaftState& state,
                double random,
                Millis now,
                RaftOutput& output) {
  const bool removed =
      FindInstance(state.m_config.m_config, state.m_instance) == nullptr &&
      state.m_config.m_index <= state.m_commit;
  const bool unproved = ProofAge(state, now) > kLeaderProofLimit &&
                        now - state.m_leader_since > kLeaderProofLimit;
  if (removed || unproved) {
    BecomeFollower(state, state.m_hard.m_term, random, now, output);
    return;
  }
  if (now >= state.m_next_heartbeat) {
    state.m_next_heartbeat = now + kRaftHeartbeat;
    for (auto& [instance, peer] : state.m_peers) {
      peer.m_next = peer.m_match + 1;
    }
    (void)StartRound(state, now, output);
  }
}

}  // namespace

void StartRaft(RaftState& state, double random, Millis now) {
  state.m_config = FindConfig(state.m_log);
  state.m_commit = state.m_log.m_snapshot.m_index;
  state.m_applied = state.m_log.m_snapshot.m_index;
  state.m_role = RaftRole::kFollower;
  ResetElectionTimer(state, random, now);
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
  entry.m_kind = EntryKind::kConfig;
  entry.m_data.m_data = EncodeFields(config);
  AppendEntry(state, std::move(entry), output);
  return true;
}

void TickRaft(RaftState& state, double random, Millis now, RaftOutput& output) {
  if (state.m_role == RaftRole::kLeader) {
    TickLeader(state, random, now, output);
    return;
  }
  if (now < state.m_election_deadline || !IsVoter(state, state.m_instance)) {
    return;
  }
  ResetElectionTimer(state, random, now);
  StartPreVote(state, now, output);
}

void ReceiveRaft(RaftState& state,
                 const RaftMessage& message,
                 double random,
                 Millis now,
                 RaftOutput& output) {
  std::visit(
      [&](const auto& value) {
        using Type = std::decay_t<decltype(value)>;
        const RaftStamp& stamp = value.m_stamp;
        // A new member has no group yet, and takes it from the leader that
        // knows its instance.
        const bool joining = !IsInGroup(state) &&
                             stamp.m_to_instance == state.m_instance &&
                             (std::is_same_v<Type, AppendRequest> ||
                              std::is_same_v<Type, SnapshotRequest>);
        if (!joining && !IsForThisMember(state, stamp)) {
          return;
        }
        const bool is_vote = std::is_same_v<Type, VoteRequest> ||
                             std::is_same_v<Type, VoteReply>;
        if (is_vote && !IsVoter(state, stamp.m_from_instance)) {
          return;
        }
        if (joining) {
          state.m_joining_group = stamp.m_group_id;
        }
        // A pre-vote must not raise anybody's term; its refusal may, since
        // the candidate was behind.
        bool pre_vote = false;
        if constexpr (std::is_same_v<Type, VoteRequest>) {
          pre_vote = value.m_pre_vote;
        } else if constexpr (std::is_same_v<Type, VoteReply>) {
          pre_vote = value.m_pre_vote && value.m_granted;
        }
        if (stamp.m_term > state.m_hard.m_term && !pre_vote) {
          BecomeFollower(state, stamp.m_term, random, now, output);
        }
        Receive(state, value, random, now, output);
      },
      message);
}

std::optional<std::uint64_t> Propose(RaftState& state,
                                     EntryKind kind,
                                     const std::string& data,
                                     Millis now,
                                     RaftOutput& output) {
  const bool config_pending = state.m_config.m_index > state.m_commit ||
                              state.m_commit < state.m_term_start;
  if (state.m_role != RaftRole::kLeader ||
      (kind == EntryKind::kConfig && config_pending)) {
    return std::nullopt;
  }
  LogEntry entry;
  entry.m_index = LastIndex(state.m_log) + 1;
  entry.m_term = state.m_hard.m_term;
  entry.m_kind = kind;
  entry.m_data.m_data = data;
  const std::uint64_t index = entry.m_index;
  AppendEntry(state, std::move(entry), output);
  SendToAll(state, now, output);
  AdvanceCommit(state, output);
  return index;
}

std::uint64_t StartRound(RaftState& state, Millis now, RaftOutput& output) {
  ++state.m_round;
  state.m_round_times[state.m_round] = now;
  while (state.m_round_times.size() > kMaxRounds) {
    state.m_round_times.erase(state.m_round_times.begin());
  }
  SendToAll(state, now, output);
  return state.m_round;
}

bool IsRoundProved(const RaftState& state, std::uint64_t round) {
  if (state.m_role != RaftRole::kLeader ||
      state.m_commit < state.m_term_start) {
    return false;
  }
  std::size_t acks = 0;
  for (const GroupMember& member : state.m_config.m_config.m_members) {
    const auto peer = state.m_peers.find(member.m_instance);
    const bool self = member.m_instance == state.m_instance;
    const bool acked = self || (peer != state.m_peers.end() &&
                                peer->second.m_acked_round >= round);
    acks += member.m_voter && acked ? 1 : 0;
  }
  return acks >= Majority(state);
}

Millis ProofAge(const RaftState& state, Millis now) {
  std::vector<Millis> sent;
  for (const GroupMember& member : state.m_config.m_config.m_members) {
    if (!member.m_voter) {
      continue;
    }
    const bool self = member.m_instance == state.m_instance;
    const auto peer = state.m_peers.find(member.m_instance);
    Millis when(-1e12);
    if (self) {
      when = now;
    } else if (peer != state.m_peers.end()) {
      when = peer->second.m_acked_sent;
    }
    sent.push_back(when);
  }
  if (state.m_role != RaftRole::kLeader || sent.empty()) {
    return Millis(1e12);
  }
  std::sort(sent.begin(), sent.end(), [](Millis a, Millis b) { return a > b; });
  return now - sent[sent.size() / 2];
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
  // The members as of the entry; a later change stays in the log.
  RaftLog until = state.m_log;
  TruncateFrom(until, state.m_applied + 1);
  snapshot.m_config = FindConfig(until).m_config;
  output.m_writes.emplace_back(snapshot);
  PutSnapshot(state.m_log, std::move(snapshot));
  state.m_config = FindConfig(state.m_log);
}

bool IsInGroup(const RaftState& state) {
  return !state.m_config.m_config.m_group_id.empty();
}

const GroupMember* FindInstance(const GroupConfig& config,
                                const std::string& instance) {
  for (const GroupMember& member : config.m_members) {
    if (member.m_instance == instance) {
      return &member;
    }
  }
  return nullptr;
}

}  // namespace hemlockpoint
