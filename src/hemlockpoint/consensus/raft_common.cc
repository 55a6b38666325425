// Steps shared by elections and replication.

#include "hemlockpoint/consensus/raft_internal.h"

#include <algorithm>
#include <utility>

namespace hemlockpoint::internal {

namespace {

std::size_t CountVoters(const GroupConfig& config) {
  return static_cast<std::size_t>(std::count_if(
      config.m_members.begin(), config.m_members.end(),
      [](const GroupMember& member) { return member.m_is_voter; }));
}

}  // namespace

std::size_t VoterMajoritySize(const RaftState& state) {
  return CountVoters(state.m_config.m_config) / 2 + 1;
}

bool IsVoter(const RaftState& state, const std::string& instance) {
  const GroupMember* member =
      FindMemberByInstance(state.m_config.m_config, instance);
  return member != nullptr && member->m_is_voter;
}

bool HasRecentLeader(const RaftState& state, Millis now) {
  return state.m_role == RaftRole::kLeader ||
         now - state.m_leader_heard_at < kElectionTimeoutMin;
}

namespace {

RaftHeader MakeRaftHeader(const RaftState& state, const GroupMember& to) {
  RaftHeader header;
  header.m_group_id = IsInGroup(state) ? state.m_config.m_config.m_group_id
                                       : state.m_joining_group_id;
  header.m_from_instance = state.m_instance;
  header.m_to_instance = to.m_instance;
  header.m_term = state.m_hard.m_term;
  return header;
}

}  // namespace

void QueueMessage(const RaftState& state,
                  const std::string& instance,
                  RaftMessage message,
                  RaftOutput& output) {
  const GroupMember* member =
      FindMemberByInstance(state.m_config.m_config, instance);
  GroupMember to;
  if (member != nullptr) {
    to = *member;
  } else {
    // A joining member has no configuration and thus no address for the
    // leader. The caller replies on the link that the leader opened.
    to.m_instance = instance;
  }
  std::visit([&](auto& value) { value.m_header = MakeRaftHeader(state, to); },
             message);
  output.m_outgoing.push_back({std::move(to), std::move(message)});
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
  const bool is_config = entry.m_kind == LogEntryKind::kConfig;
  output.m_writes.emplace_back(entry);
  state.m_log.m_entries.push_back(std::move(entry));
  if (is_config) {
    state.m_config = FindLatestConfig(state.m_log);
  }
}

void CommitUpTo(RaftState& state, std::uint64_t commit, RaftOutput& output) {
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

}  // namespace hemlockpoint::internal
