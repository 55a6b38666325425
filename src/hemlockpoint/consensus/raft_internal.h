#ifndef HEMLOCKPOINT_CONSENSUS_RAFT_INTERNAL_H_
#define HEMLOCKPOINT_CONSENSUS_RAFT_INTERNAL_H_

#include "hemlockpoint/consensus/raft.h"

/// Functions shared by the Raft source files.

namespace hemlockpoint::internal {

/// @return Number of voters in the smallest majority.
std::size_t VoterMajoritySize(const RaftState& state);

/// @return Whether an instance is a voting member of the group.
bool IsVoter(const RaftState& state, const std::string& instance);

/// @return Whether this member leads, or has heard from the leader within the
/// shortest election timeout.
bool HasRecentLeader(const RaftState& state, Millis now);

/// @brief Addresses a message to a member and adds it to the output.
void QueueMessage(const RaftState& state,
                  const std::string& instance,
                  RaftMessage message,
                  RaftOutput& output);

/// @brief Draws a new random election deadline.
void ResetElectionTimer(RaftState& state, double random, Millis now);

/// @brief Adds the current term and vote to the output's writes.
void WriteHardState(const RaftState& state, RaftOutput& output);

/// @brief Becomes a follower, in the given term if it is newer than the
/// current one.
void BecomeFollower(RaftState& state,
                    std::uint64_t term,
                    double random,
                    Millis now,
                    RaftOutput& output);

/// @brief Appends an entry to the log and adds it to the output's writes.
void AppendEntry(RaftState& state, LogEntry entry, RaftOutput& output);

/// @brief Raises the commit index and adds the newly committed entries to the
/// output.
void CommitUpTo(RaftState& state, std::uint64_t commit, RaftOutput& output);

/// @brief Commits the entries that a majority of the voters has stored.
void AdvanceCommitIndex(RaftState& state, RaftOutput& output);

/// @brief Sends each other member the entries that it lacks, or an empty append
/// request as a heartbeat.
void ReplicateToAll(RaftState& state, Millis now, RaftOutput& output);

/// @brief Becomes the leader and appends a no-op entry of the new term.
void BecomeLeader(RaftState& state, Millis now, RaftOutput& output);

/// @brief Asks the other voters whether they would grant a vote.
void StartPreVote(RaftState& state, Millis now, RaftOutput& output);

/// @brief Handles a message that is addressed to this member and whose term
/// has been taken over.
void HandleMessage(RaftState& state,
                   const VoteRequest& request,
                   double random,
                   Millis now,
                   RaftOutput& output);

void HandleMessage(RaftState& state,
                   const VoteReply& reply,
                   double random,
                   Millis now,
                   RaftOutput& output);

void HandleMessage(RaftState& state,
                   const AppendRequest& request,
                   double random,
                   Millis now,
                   RaftOutput& output);

void HandleMessage(RaftState& state,
                   const AppendReply& reply,
                   double random,
                   Millis now,
                   RaftOutput& output);

void HandleMessage(RaftState& state,
                   const SnapshotRequest& request,
                   double random,
                   Millis now,
                   RaftOutput& output);

}  // namespace hemlockpoint::internal

#endif  // HEMLOCKPOINT_CONSENSUS_RAFT_INTERNAL_H_
