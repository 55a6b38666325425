#include "hemlockpoint/consensus/raft.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "hemlockpoint/wire/fields_codec.h"
#include "support/raft_cluster.h"

namespace hemlockpoint {
namespace {

constexpr std::uint64_t kSeed = 11;
constexpr Millis kSettleTime(4000);

std::string DataOf(const LogEntry& entry) {
  return entry.m_data.m_data;
}

bool HasApplied(const SimMember& member, const std::string& data) {
  for (const LogEntry& entry : member.m_applied) {
    if (DataOf(entry) == data) {
      return true;
    }
  }
  return false;
}

TEST(Raft, ElectsOneLeaderAndCommits) {
  RaftCluster cluster(3, kSeed);
  cluster.Run(kSettleTime);
  const std::string leader = cluster.Leader();
  ASSERT_FALSE(leader.empty());
  ASSERT_TRUE(cluster.ProposeAt(leader, LogEntryKind::kPolicyChange, "x"));
  cluster.Run(Millis(500));
  for (const auto& [instance, member] : cluster.members()) {
    EXPECT_TRUE(HasApplied(member, "x")) << instance;
  }
  EXPECT_EQ(cluster.m_violation, "");
}

TEST(Raft, ElectsNewLeaderAfterLeaderFailure) {
  RaftCluster cluster(3, kSeed);
  cluster.Run(kSettleTime);
  const std::string first = cluster.Leader();
  cluster.ProposeAt(first, LogEntryKind::kPolicyChange, "x");
  cluster.Run(Millis(500));
  cluster.Kill(first);
  cluster.Run(kSettleTime);
  const std::string second = cluster.Leader();
  ASSERT_FALSE(second.empty());
  EXPECT_NE(second, first);
  cluster.ProposeAt(second, LogEntryKind::kPolicyChange, "y");
  cluster.Restart(first);
  cluster.Run(kSettleTime);
  EXPECT_TRUE(HasApplied(cluster.at(first), "x"));
  EXPECT_TRUE(HasApplied(cluster.at(first), "y"));
  EXPECT_EQ(cluster.m_violation, "");
}

// The load: all processes lose power at once, and nodes serve nothing before a
// leader has sent them the document.
TEST(Raft, HasALeaderSoonAfterAllMembersRestarted) {
  constexpr std::uint64_t kRuns = 20;
  constexpr Millis kStep(10);
  Millis total;
  for (std::uint64_t run = 0; run < kRuns; ++run) {
    RaftCluster cluster(3, kSeed + run);
    cluster.Run(kSettleTime);
    for (int host = 0; host < 3; ++host) {
      cluster.Kill(RaftCluster::InstanceOf(host, 0));
    }
    for (int host = 0; host < 3; ++host) {
      cluster.Restart(RaftCluster::InstanceOf(host, 0));
    }
    Millis waited;
    while (cluster.Leader().empty() && waited < kSettleTime) {
      cluster.Run(kStep);
      waited += kStep;
    }
    total += waited;
  }
  EXPECT_LT(total / Millis(kRuns), kElectionTimeoutMin.value());
}

TEST(Raft, ARestartedMemberDoesNotDisturbALeader) {
  RaftCluster cluster(3, kSeed);
  cluster.Run(kSettleTime);
  const std::string leader = cluster.Leader();
  const std::uint64_t term = cluster.at(leader).m_raft.m_hard.m_term;
  for (int host = 0; host < 3; ++host) {
    const std::string member = RaftCluster::InstanceOf(host, 0);
    if (member != leader) {
      cluster.Kill(member);
      cluster.Restart(member);
      cluster.Run(kSettleTime);
    }
  }
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_EQ(cluster.at(leader).m_raft.m_hard.m_term, term);
}

TEST(Raft, IsolatedLeaderStepsDownAndCommitsNothing) {
  RaftCluster cluster(3, kSeed);
  cluster.Run(kSettleTime);
  const std::string isolated = cluster.Leader();
  cluster.Isolate(isolated);
  cluster.ProposeAt(isolated, LogEntryKind::kPolicyChange, "lost");
  cluster.Run(Millis(2000));
  EXPECT_NE(cluster.at(isolated).m_raft.m_role, RaftRole::kLeader);
  // A member that isn't the leader reports a very long age.
  EXPECT_GT(QuorumAckAge(cluster.at(isolated).m_raft, cluster.now()),
            Millis(2000));
  cluster.Run(Millis(60'000));
  const std::uint64_t isolated_term = cluster.at(isolated).m_raft.m_hard.m_term;
  cluster.Heal();
  cluster.Run(kSettleTime);
  for (const auto& [instance, member] : cluster.members()) {
    EXPECT_FALSE(HasApplied(member, "lost")) << instance;
  }
  // Without pre-vote, 60 s of elections would have raised the term of the
  // isolated member far above 3.
  EXPECT_LE(isolated_term, 3U);
  EXPECT_EQ(cluster.m_violation, "");
}

TEST(Raft, ReplacesLeaderThatCannotReceive) {
  RaftCluster cluster(3, kSeed);
  cluster.Run(kSettleTime);
  const std::string deaf_leader = cluster.Leader();
  for (const auto& [sender, member] : cluster.members()) {
    cluster.CutLink(sender, deaf_leader);
  }
  cluster.Run(Millis(6000));
  const std::string leader = cluster.Leader();
  EXPECT_FALSE(leader.empty());
  EXPECT_NE(leader, deaf_leader);
  EXPECT_EQ(cluster.m_violation, "");
}

TEST(Raft, WipedMemberCannotVoteInPlaceOfItsOldInstance) {
  RaftCluster cluster(3, kSeed);
  cluster.Run(kSettleTime);
  const std::string leader = cluster.Leader();
  cluster.ProposeAt(leader, LogEntryKind::kPolicyChange, "x");
  cluster.Run(Millis(500));
  std::string wiped_instance;
  for (const auto& [instance, member] : cluster.members()) {
    if (instance != leader) {
      wiped_instance = instance;
    }
  }
  // The host returns with an empty disk and thus a new instance, and then the
  // leader fails. Only one of the three voters is left, so no member may become
  // the leader.
  cluster.Kill(wiped_instance);
  cluster.AddEmptyMember(wiped_instance.substr(0, 2) + ".1");
  cluster.Kill(leader);
  cluster.Run(Millis(20'000));
  EXPECT_EQ(cluster.Leader(), "");
  cluster.Restart(leader);
  cluster.Run(kSettleTime);
  EXPECT_FALSE(cluster.Leader().empty());
  EXPECT_EQ(cluster.m_violation, "");
}

TEST(Raft, ReplacesWipedHostInTwoConfigChanges) {
  RaftCluster cluster(3, kSeed);
  cluster.Run(kSettleTime);
  const std::string leader = cluster.Leader();
  const int host = leader == "h0.0" ? 1 : 0;
  const std::string old_instance = RaftCluster::InstanceOf(host, 0);
  const std::string new_instance = RaftCluster::InstanceOf(host, 1);
  cluster.Kill(old_instance);
  cluster.AddEmptyMember(new_instance);
  GroupConfig config = cluster.at(leader).m_raft.m_config.m_config;
  for (auto member = config.m_members.begin(); member != config.m_members.end();
       ++member) {
    if (member->m_instance == old_instance) {
      config.m_members.erase(member);
      break;
    }
  }
  ASSERT_TRUE(
      cluster.ProposeAt(leader, LogEntryKind::kConfig, EncodeFields(config)));
  // Another change is rejected while the first is uncommitted.
  EXPECT_FALSE(
      cluster.ProposeAt(leader, LogEntryKind::kConfig, EncodeFields(config)));
  cluster.Run(Millis(1000));
  config.m_members.push_back(RaftCluster::MakeMember(host, 1, false));
  ASSERT_TRUE(
      cluster.ProposeAt(leader, LogEntryKind::kConfig, EncodeFields(config)));
  cluster.Run(kSettleTime);
  const GroupMember* joined = FindMemberByInstance(
      cluster.at(leader).m_raft.m_config.m_config, new_instance);
  ASSERT_NE(joined, nullptr);
  // It was added as a non-voter. The leader makes it a voter once it has caught
  // up.
  EXPECT_TRUE(joined->m_is_voter);
  // The group survives the failure of its leader after the replacement.
  cluster.ProposeAt(leader, LogEntryKind::kPolicyChange, "x");
  cluster.Run(Millis(500));
  cluster.Kill(leader);
  cluster.Run(kSettleTime);
  EXPECT_FALSE(cluster.Leader().empty());
  EXPECT_TRUE(HasApplied(cluster.at(new_instance), "x"));
  EXPECT_EQ(cluster.m_violation, "");
}

// Changes the members as the control group's leader does: removes an instance,
// or adds one as a learner.
void ProposeMembers(RaftCluster& cluster,
                    const std::string& removed,
                    const std::optional<GroupMember>& added) {
  const std::string leader = cluster.Leader();
  GroupConfig config = cluster.at(leader).m_raft.m_config.m_config;
  auto& members = config.m_members;
  members.erase(std::remove_if(members.begin(), members.end(),
                               [&](const GroupMember& member) {
                                 return member.m_instance == removed;
                               }),
                members.end());
  if (added) {
    members.push_back(*added);
  }
  ASSERT_TRUE(
      cluster.ProposeAt(leader, LogEntryKind::kConfig, EncodeFields(config)));
}

// Replaces a wiped host's instance. `stop` runs when `lagging` has the entry
// that adds the new one as a learner, and before it has the next entry.
void ReplaceWipedHost(RaftCluster& cluster,
                      int host,
                      const std::string& lagging,
                      const std::function<void()>& stop) {
  const GroupMember learner = RaftCluster::MakeMember(host, 1, false);
  cluster.Kill(RaftCluster::InstanceOf(host, 0));
  cluster.AddEmptyMember(learner.m_instance);
  ProposeMembers(cluster, RaftCluster::InstanceOf(host, 0), std::nullopt);
  cluster.Run(Millis(1000));
  ProposeMembers(cluster, "", learner);
  const Millis end = cluster.now() + kSettleTime;
  while (cluster.now() < end &&
         FindMemberByInstance(cluster.at(lagging).m_raft.m_config.m_config,
                              learner.m_instance) == nullptr) {
    cluster.Run(Millis(10));
  }
  stop();
  cluster.Run(kSettleTime);
}

// Guards against a group that never has a leader again because a member which
// lacks the entry that made another one a voter ignores its requests for votes.
TEST(Raft, AMemberVotesForACandidateThatItKnowsAsALearner) {
  RaftCluster cluster(3, kSeed);
  cluster.Run(kSettleTime);
  const std::string leader = cluster.Leader();
  const int wiped = leader == "h0.0" ? 1 : 0;
  const std::string lagging = leader == "h2.0" ? "h1.0" : "h2.0";
  const std::string replacement = RaftCluster::InstanceOf(wiped, 1);
  ReplaceWipedHost(cluster, wiped, lagging, [&] {
    cluster.CutLink(leader, lagging);
    cluster.CutLink(replacement, lagging);
  });
  ASSERT_TRUE(
      cluster.ProposeAt(leader, LogEntryKind::kPolicyChange, "x").has_value());
  cluster.Run(Millis(500));
  ASSERT_TRUE(HasApplied(cluster.at(replacement), "x"));
  ASSERT_FALSE(FindMemberByInstance(
                   cluster.at(lagging).m_raft.m_config.m_config, replacement)
                   ->m_is_voter);
  // The leader's disk is lost, too.
  cluster.Kill(leader);
  cluster.Heal();
  cluster.Run(kSettleTime);
  EXPECT_EQ(cluster.Leader(), replacement);
  EXPECT_TRUE(HasApplied(cluster.at(lagging), "x"));
  EXPECT_EQ(cluster.m_violation, "");
}

// Guards against the same where the member lacks all entries that name the
// candidates: its votes have no address, and are sent back on their links.
TEST(Raft, AMemberVotesForACandidateThatItDoesNotKnow) {
  RaftCluster cluster(3, kSeed);
  cluster.Run(kSettleTime);
  const std::string member = cluster.Leader() == "h0.0" ? "h1.0" : "h0.0";
  cluster.Isolate(member);
  cluster.Run(kSettleTime);
  RaftState& raft = cluster.at(member).m_raft;
  VoteRequest request;
  request.m_header = {"group", "stranger", member, raft.m_hard.m_term + 1};
  request.m_last_index = LastIndex(raft.m_log) + 1;
  request.m_last_term = raft.m_hard.m_term + 1;
  for (const bool is_pre_vote : {true, false}) {
    request.m_pre_vote = is_pre_vote;
    RaftOutput output;
    HandleRaftMessage(raft, request, 0, cluster.now(), output);
    ASSERT_EQ(output.m_outgoing.size(), 1U);
    EXPECT_EQ(output.m_outgoing.front().m_to.m_instance, "stranger");
    EXPECT_TRUE(output.m_outgoing.front().m_to.m_peer.empty());
    const auto* reply =
        std::get_if<VoteReply>(&output.m_outgoing.front().m_message);
    ASSERT_NE(reply, nullptr);
    EXPECT_TRUE(reply->m_granted);
  }
  EXPECT_EQ(raft.m_hard.m_voted_for, "stranger");
}

// Guards against logs that don't tell voters which refuse a candidate from
// voters that are silent.
TEST(Raft, ACandidateKnowsWhichVotersRefuseIt) {
  RaftCluster cluster(3, kSeed);
  cluster.Run(kSettleTime);
  const std::string leader = cluster.Leader();
  const std::string lagging = leader == "h0.0" ? "h1.0" : "h0.0";
  const std::string other = leader == "h2.0" ? "h1.0" : "h2.0";
  cluster.Isolate(lagging);
  cluster.ProposeAt(leader, LogEntryKind::kPolicyChange, "x");
  cluster.Run(Millis(500));
  // The other member has the entry.
  cluster.Kill(leader);
  cluster.Heal();
  const Millis end = cluster.now() + kSettleTime;
  const RaftState& raft = cluster.at(lagging).m_raft;
  while (cluster.now() < end && raft.m_refused_votes.empty()) {
    cluster.Run(Millis(10));
  }
  EXPECT_EQ(raft.m_refused_votes, std::set<std::string>{other});
  EXPECT_EQ(raft.m_granted_votes, std::set<std::string>{lagging});
}

// Guards against a learner that reports to a leader that is gone for good, and
// so is never known to the next one.
TEST(Raft, ALearnerFollowsNoLeaderThatIsSilent) {
  RaftCluster cluster(1, kSeed);
  cluster.Run(kSettleTime);
  const GroupMember learner = RaftCluster::MakeMember(1, 0, false);
  cluster.AddEmptyMember(learner.m_instance);
  // The leader gets no replies, so the learner doesn't become a voter.
  cluster.CutLink(learner.m_instance, "h0.0");
  ProposeMembers(cluster, "", learner);
  cluster.Run(Millis(1000));
  ASSERT_EQ(cluster.at(learner.m_instance).m_raft.m_leader, "h0.0");
  cluster.Kill("h0.0");
  cluster.Run(Millis(2000));
  EXPECT_EQ(cluster.at(learner.m_instance).m_raft.m_leader, "");
}

// Guards against a member that was removed while it was away, and deposes the
// leader whenever its election timer runs out.
TEST(Raft, ARemovedMemberDoesNotDisturbTheGroup) {
  RaftCluster cluster(4, kSeed);
  cluster.Run(kSettleTime);
  const std::string leader = cluster.Leader();
  const std::string removed = leader == "h3.0" ? "h2.0" : "h3.0";
  cluster.Isolate(removed);
  ProposeMembers(cluster, removed, std::nullopt);
  cluster.Run(kSettleTime);
  const std::uint64_t term = cluster.at(leader).m_raft.m_hard.m_term;
  cluster.Heal();
  cluster.Run(Millis(20'000));
  EXPECT_EQ(cluster.Leader(), leader);
  EXPECT_EQ(cluster.at(leader).m_raft.m_hard.m_term, term);
  EXPECT_EQ(cluster.m_violation, "");
}

// Guards against a candidate that counts the vote of a member which its
// configuration doesn't list as a voter.
TEST(Raft, ACandidateCountsOnlyTheVotesOfItsVoters) {
  RaftCluster cluster(3, kSeed);
  cluster.Run(kSettleTime);
  const std::string candidate = cluster.Leader() == "h0.0" ? "h1.0" : "h0.0";
  cluster.Isolate(candidate);
  cluster.Run(kSettleTime);
  RaftState& raft = cluster.at(candidate).m_raft;
  ASSERT_EQ(raft.m_role, RaftRole::kPreCandidate);
  for (const std::string voter : {"stranger", "h2.1"}) {
    VoteReply reply;
    reply.m_header = {"group", voter, candidate, raft.m_hard.m_term};
    reply.m_pre_vote = true;
    reply.m_granted = true;
    RaftOutput output;
    HandleRaftMessage(raft, reply, 0, cluster.now(), output);
  }
  EXPECT_EQ(raft.m_role, RaftRole::kPreCandidate);
}

TEST(Raft, LaggingMemberReceivesSnapshot) {
  RaftCluster cluster(3, kSeed);
  cluster.Run(kSettleTime);
  const std::string leader = cluster.Leader();
  const std::string lagging = leader == "h0.0" ? "h1.0" : "h0.0";
  cluster.Kill(lagging);
  for (int i = 0; i < 300; ++i) {
    cluster.ProposeAt(leader, LogEntryKind::kPolicyChange,
                      "c" + std::to_string(i));
    cluster.Run(Millis(10));
  }
  cluster.Run(Millis(500));
  cluster.Compact(leader, "state of 300");
  cluster.Restart(lagging);
  cluster.Run(kSettleTime);
  EXPECT_EQ(cluster.at(lagging).m_restored_snapshot, "state of 300");
  EXPECT_EQ(cluster.at(lagging).m_raft.m_commit,
            cluster.at(leader).m_raft.m_commit);
}

TEST(Raft, IgnoresMessagesFromOtherGroupsAndNonMembers) {
  RaftCluster cluster(3, kSeed);
  cluster.Run(kSettleTime);
  RaftState& member = cluster.at("h0.0").m_raft;
  const std::uint64_t term = member.m_hard.m_term;
  VoteRequest request;
  request.m_header = {"other group", "stranger", "h0.0", 1000};
  RaftOutput output;
  HandleRaftMessage(member, request, 0, cluster.now(), output);
  request.m_header.m_group_id = "group";
  HandleRaftMessage(member, request, 0, cluster.now(), output);
  EXPECT_EQ(member.m_hard.m_term, term);
  EXPECT_TRUE(output.m_outgoing.empty());
}

TEST(Raft, RoundOfIsolatedLeaderIsNotAckedByQuorum) {
  RaftCluster cluster(3, kSeed);
  cluster.Run(kSettleTime);
  const std::string leader = cluster.Leader();
  RaftState& raft = cluster.at(leader).m_raft;
  cluster.Isolate(leader);
  RaftOutput output;
  const std::uint64_t round = StartHeartbeatRound(raft, cluster.now(), output);
  cluster.Run(Millis(500));
  EXPECT_FALSE(IsRoundAckedByQuorum(raft, round));
}

}  // namespace
}  // namespace hemlockpoint
