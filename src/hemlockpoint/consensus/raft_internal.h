#ifndef HEMLOCKPOINT_CONSENSUS_RAFT_INTERNAL_H_
#define HEMLOCKPOINT_CONSENSUS_RAFT_INTERNAL_H_

#include "hemlockpoint/consensus/raft.h"

/// Steps that the parts of the log's rules share.

namespace hemlockpoint::internal {

/// @return Voters that make a majority.
std::size_t VoterMajoritySize(const RaftState& state);

/// @return Whether an instance counts in majorities.
bool IsVoter(const RaftState& state, const std::string& instance);

/// @brief Addresses a message to a member and adds it to the output.
void SendTo(const RaftState& state,
            const std::string& instance,
            RaftMessage message,
            RaftOutput& output);

/// @brief Draws the next time for an election.
void ResetElectionTimer(RaftState& state, double random, Millis now);

/// @brief Adds the term and vote to the writes.
void WriteHardState(const RaftState& state, RaftOutput& output);

/// @brief Takes a newer term, and follows.
void BecomeFollower(RaftState& state,
                    std::uint64_t term,
                    double random,
                    Millis now,
                    RaftOutput& output);

/// @brief Appends an entry to the log and the writes.
void AppendEntry(RaftState& state, LogEntry entry, RaftOutput& output);

/// @brief Hands out entries up to the commit index.
void CommitUpTo(RaftState& state, std::uint64_t commit, RaftOutput& output);

/// @brief Commits what a majority holds.
void AdvanceCommitIndex(RaftState& state, RaftOutput& output);

/// @brief Sends what each other member lacks, or a heartbeat.
void ReplicateToAll(RaftState& state, Millis now, RaftOutput& output);

/// @brief Opens the term as its leader.
void BecomeLeader(RaftState& state, Millis now, RaftOutput& output);

/// @brief Asks whether an election could be won.
void StartPreVote(RaftState& state, Millis now, RaftOutput& output);

/// @brief Handles one kind of message that passed the checks of its stamp.
void Receive(RaftState& state,
             const VoteRequest& request,
             double random,
             Millis now,
             RaftOutput& output);

void Receive(RaftState& state,
             const VoteReply& reply,
             double random,
             Millis now,
             RaftOutput& output);

void Receive(RaftState& state,
             const AppendRequest& request,
             double random,
             Millis now,
             RaftOutput& output);

void Receive(RaftState& state,
             const AppendReply& reply,
             double random,
             Millis now,
             RaftOutput& output);

void Receive(RaftState& state,
             const SnapshotRequest& request,
             double random,
             Millis now,
             RaftOutput& output);

}  // namespace hemlockpoint::internal

#endif  // HEMLOCKPOINT_CONSENSUS_RAFT_INTERNAL_H_
