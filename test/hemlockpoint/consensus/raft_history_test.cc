// Random runs of the control group with message loss, duplicated messages, cut
// links, crashes and restarts. Several operators change the same policy section
// concurrently and resend unanswered changes. The history of the changes is
// checked for linearizability.

#include <gtest/gtest.h>

#include <iostream>

#include "hemlockpoint/policy/store.h"
#include "hemlockpoint/wire/fields_codec.h"
#include "support/raft_cluster.h"

namespace hemlockpoint {
namespace {

constexpr int kRuns = 30;
constexpr int kSteps = 120;

// An operator who changes the platform section, based on the revision that the
// leader has at that time, and resends each change until it is answered.
struct Operator {
  int m_number = 0;
  int m_changes = 0;
  std::optional<PolicyChange> m_pending_change;
  /// Log index at which the pending change was last proposed; 0 for none.
  std::uint64_t m_proposed_index = 0;
  /// Leader that the pending change was last proposed to.
  std::string m_proposed_to;
  Revision m_last_seen_revision;
};

struct Answer {
  std::string m_id;
  Revision m_base;
  PolicyChangeResult m_result;
};

std::string PlatformText(int number) {
  return "[platform]\nclasses = [\"a\"]\ndefault_class = \"a\"\n# " +
         std::to_string(number) + "\n";
}

// Returns the store that results from the entries that a member has applied.
PolicyStore Replay(const SimMember& member) {
  PolicyStore store;
  store.m_admin_token_sha256 = TokenDigest("t");
  for (const LogEntry& entry : member.m_applied) {
    if (entry.m_kind == LogEntryKind::kPolicyChange) {
      ApplyPolicyChange(store,
                        *DecodeFields<PolicyChange>(entry.m_data.m_data));
    }
  }
  return store;
}

class HistoryRun {
 public:
  explicit HistoryRun(std::uint64_t seed) : m_cluster(5, seed) {
    m_cluster.m_loss_probability = 0.05;
    m_cluster.m_duplicate_probability = 0.05;
    m_cluster.m_max_delay = Millis(60);
    for (int i = 0; i < 3; ++i) {
      m_operators.push_back({i, 0, std::nullopt, 0, "", Revision()});
    }
    m_cluster.Run(Millis(4000));
  }

  void Run() {
    for (int i = 0; i < kSteps; ++i) {
      InjectFault();
      for (Operator& op : m_operators) {
        StepOperator(op);
      }
      m_cluster.Run(Millis(200));
    }
    m_cluster.Heal();
    for (const auto& [instance, member] : m_cluster.members()) {
      if (!member.m_is_up) {
        m_cluster.Restart(instance);
      }
    }
    m_cluster.m_loss_probability = 0;
    m_cluster.Run(Millis(8000));
  }

  void Check() const {
    EXPECT_EQ(m_cluster.m_violation, "");
    const PolicyStore store = Replay(m_cluster.members().begin()->second);
    for (const auto& [instance, member] : m_cluster.members()) {
      const PolicyStore other = Replay(member);
      EXPECT_EQ(other.m_document.m_revision, store.m_document.m_revision)
          << instance;
    }
    // Every answer that an operator received agrees with the final history,
    // and at most one change was accepted for each base revision: the accepted
    // changes form one sequence.
    std::map<std::uint64_t, std::string> by_base;
    for (const Answer& answer : m_answers) {
      const auto final = store.m_results_by_change_id.find(answer.m_id);
      ASSERT_NE(final, store.m_results_by_change_id.end()) << answer.m_id;
      EXPECT_EQ(final->second.m_status, answer.m_result.m_status);
      EXPECT_EQ(final->second.m_revision, answer.m_result.m_revision);
      if (answer.m_result.m_status == PolicyChangeStatus::kAccepted) {
        const auto [first, added] =
            by_base.emplace(answer.m_base.value(), answer.m_id);
        EXPECT_TRUE(added || first->second == answer.m_id)
            << "two accepted changes based on revision "
            << answer.m_base.value();
      }
    }
    Revision before;
    for (const PolicyHistoryEntry& entry : store.m_history) {
      EXPECT_TRUE(before < entry.m_revision);
      before = entry.m_revision;
    }
  }

  [[nodiscard]] std::size_t answers() const { return m_answers.size(); }

 private:
  std::string AnyMember() {
    auto member = m_cluster.members().begin();
    std::advance(member, static_cast<long>(m_cluster.Random() * 5));
    return member->first;
  }

  void InjectFault() {
    const double draw = m_cluster.Random();
    const std::string instance = AnyMember();
    if (draw < 0.08) {
      m_cluster.Kill(instance);
    } else if (draw < 0.25) {
      for (const auto& [other, member] : m_cluster.members()) {
        if (!member.m_is_up) {
          m_cluster.Restart(other);
        }
      }
    } else if (draw < 0.32) {
      m_cluster.Isolate(instance);
    } else if (draw < 0.38) {
      m_cluster.CutLink(instance, AnyMember());
    } else if (draw < 0.55) {
      m_cluster.Heal();
    }
  }

  void StepOperator(Operator& op) {
    if (op.m_pending_change && TryCollectAnswer(op)) {
      return;
    }
    const std::string leader = m_cluster.Leader();
    if (leader.empty()) {
      return;
    }
    if (!op.m_pending_change) {
      PolicyChange change;
      change.m_section = kPlatformSection;
      change.m_base = Replay(m_cluster.at(leader)).m_document.m_revision;
      change.m_change_id =
          std::to_string(op.m_number) + "-" + std::to_string(op.m_changes++);
      change.m_token_sha256 = TokenDigest("t");
      change.m_text = PlatformText(op.m_changes);
      op.m_pending_change = change;
      op.m_proposed_index = 0;
    }
    // The answer may have been lost with its leader, so that a pending change
    // is sent again.
    const auto index = m_cluster.ProposeAt(leader, LogEntryKind::kPolicyChange,
                                           EncodeFields(*op.m_pending_change));
    if (index) {
      op.m_proposed_index = *index;
      op.m_proposed_to = leader;
    }
  }

  bool TryCollectAnswer(Operator& op) {
    const SimMember& member = m_cluster.at(op.m_proposed_to);
    if (op.m_proposed_index == 0 || !member.m_is_up ||
        member.m_raft.m_applied < op.m_proposed_index) {
      return false;
    }
    const PolicyStore store = Replay(member);
    const auto result =
        store.m_results_by_change_id.find(op.m_pending_change->m_change_id);
    // A later leader may have replaced the entry at this index.
    if (result == store.m_results_by_change_id.end()) {
      return false;
    }
    m_answers.push_back({op.m_pending_change->m_change_id,
                         op.m_pending_change->m_base, result->second});
    op.m_pending_change.reset();
    return true;
  }

  RaftCluster m_cluster;
  std::vector<Operator> m_operators;
  std::vector<Answer> m_answers;
};

TEST(RaftHistory, SectionChangesAreLinearizable) {
  std::size_t answers = 0;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    HistoryRun run(seed);
    run.Run();
    run.Check();
    answers += run.answers();
  }
  std::cout << "seeds 1 to " << kRuns << ", " << answers << " answers\n";
  EXPECT_GT(answers, 1000U);
}

}  // namespace
}  // namespace hemlockpoint
