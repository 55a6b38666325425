// Pre-votes, votes and the start of a leader's term (Raft leader election).

#include "hemlockpoint/consensus/raft_internal.h"

#include <utility>

namespace hemlockpoint::internal {

namespace {

void SendVoteRequests(RaftState& state, bool pre_vote, RaftOutput& output) {
  for (const GroupMember& member : state.m_config.m_config.m_members) {
    if (!member.m_is_voter || member.m_instance == state.m_instance) {
      continue;
    }
    VoteRequest request;
    request.m_pre_vote = pre_vote;
    request.m_last_index = LastIndex(state.m_log);
    request.m_last_term = LastTerm(state.m_log);
    QueueMessage(state, member.m_instance, request, output);
  }
}

void StartElection(RaftState& state, Millis now, RaftOutput& output) {
  state.m_role = RaftRole::kCandidate;
  state.m_leader.clear();
  state.m_hard = {state.m_hard.m_term + 1, state.m_instance};
  WriteHardState(state, output);
  state.m_granted_votes = {state.m_instance};
  state.m_refused_votes.clear();
  if (state.m_granted_votes.size() >= VoterMajoritySize(state)) {
    BecomeLeader(state, now, output);
    return;
  }
  SendVoteRequests(state, false, output);
}

}  // namespace

// Without the pre-vote, a member that returns from a partition would have a
// higher term and depose a working leader.
void StartPreVote(RaftState& state, Millis now, RaftOutput& output) {
  state.m_role = RaftRole::kPreCandidate;
  state.m_leader.clear();
  state.m_granted_votes = {state.m_instance};
  state.m_refused_votes.clear();
  if (state.m_granted_votes.size() >= VoterMajoritySize(state)) {
    StartElection(state, now, output);
    return;
  }
  SendVoteRequests(state, true, output);
}

void BecomeLeader(RaftState& state, Millis now, RaftOutput& output) {
  state.m_role = RaftRole::kLeader;
  state.m_leader = state.m_instance;
  state.m_peers.clear();
  state.m_round_send_times.clear();
  state.m_leading_since = now;
  for (const GroupMember& member : state.m_config.m_config.m_members) {
    state.m_peers[member.m_instance].m_next_index = LastIndex(state.m_log) + 1;
  }
  // A default-constructed entry is a no-op.
  LogEntry noop;
  noop.m_index = LastIndex(state.m_log) + 1;
  noop.m_term = state.m_hard.m_term;
  state.m_term_start_index = noop.m_index;
  AppendEntry(state, std::move(noop), output);
  (void)StartHeartbeatRound(state, now, output);
  state.m_next_heartbeat_at = now + kRaftHeartbeatInterval;
  AdvanceCommitIndex(state, output);
}

namespace {

bool IsCandidateLogUpToDate(const RaftState& state,
                            const VoteRequest& request) {
  const std::uint64_t last_term = LastTerm(state.m_log);
  return request.m_last_term > last_term ||
         (request.m_last_term == last_term &&
          request.m_last_index >= LastIndex(state.m_log));
}

}  // namespace

void HandleMessage(RaftState& state,
                   const VoteRequest& request,
                   double random,
                   Millis now,
                   RaftOutput& output) {
  const std::string& candidate = request.m_header.m_from_instance;
  VoteReply reply;
  reply.m_pre_vote = request.m_pre_vote;
  if (request.m_pre_vote) {
    reply.m_granted = IsCandidateLogUpToDate(state, request) &&
                      !HasRecentLeader(state, now) &&
                      request.m_header.m_term >= state.m_hard.m_term;
  } else {
    const bool can_vote_for_candidate = state.m_hard.m_voted_for.empty() ||
                                        state.m_hard.m_voted_for == candidate;
    reply.m_granted = request.m_header.m_term == state.m_hard.m_term &&
                      state.m_role == RaftRole::kFollower &&
                      can_vote_for_candidate &&
                      IsCandidateLogUpToDate(state, request);
    if (reply.m_granted) {
      state.m_hard.m_voted_for = candidate;
      WriteHardState(state, output);
      ResetElectionTimer(state, random, now);
    }
  }
  QueueMessage(state, candidate, reply, output);
}

void HandleMessage(RaftState& state,
                   const VoteReply& reply,
                   double,
                   Millis now,
                   RaftOutput& output) {
  const RaftRole expected_role =
      reply.m_pre_vote ? RaftRole::kPreCandidate : RaftRole::kCandidate;
  const std::string& voter = reply.m_header.m_from_instance;
  if (state.m_role != expected_role || !IsVoter(state, voter) ||
      (!reply.m_pre_vote && reply.m_header.m_term != state.m_hard.m_term)) {
    return;
  }
  if (!reply.m_granted) {
    state.m_refused_votes.insert(voter);
    return;
  }
  state.m_granted_votes.insert(voter);
  if (state.m_granted_votes.size() < VoterMajoritySize(state)) {
    return;
  }
  if (reply.m_pre_vote) {
    StartElection(state, now, output);
  } else {
    BecomeLeader(state, now, output);
  }
}

}  // namespace hemlockpoint::internal
