#include "hemlockpoint/routing/balancer.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace hemlockpoint {
namespace {

const KindName kKind("stock GET /count");

Balancer MakeBalancer(int targets) {
  Balancer balancer;
  for (int i = 0; i < targets; ++i) {
    TargetView target;
    target.m_node = NodeId("n" + std::to_string(i));
    target.m_region = "r";
    target.m_slots = 10;
    // Known for long enough that the ramp-up has ended.
    target.m_known_since = Millis(-100'000);
    balancer.m_targets[target.m_node] = target;
  }
  return balancer;
}

// Sends a call each millisecond. Each ends before the next is sent, with a
// recorded duration of 10 ms, or 100 ms at the slow target.
std::map<NodeId, int> SendMany(Balancer& balancer,
                               int calls,
                               const NodeId& slow,
                               Millis& now) {
  std::mt19937 random(7);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::map<NodeId, int> sent;
  for (int i = 0; i < calls; ++i) {
    const auto node = ChooseTarget(balancer, {}, "r",
                                   {uniform(random), uniform(random)}, now);
    ++sent[*node];
    RecordSent(balancer, *node);
    const Millis duration(*node == slow ? 100 : 10);
    now += Millis(1);
    RecordEnd(balancer, *node, SendOutcome::kAnswered, kKind, duration, now);
  }
  return sent;
}

TEST(Balancer, SpreadsCallsOverEqualTargets) {
  Balancer balancer = MakeBalancer(4);
  Millis now(0);
  // No target is named "none", so none is slow.
  const auto sent = SendMany(balancer, 4000, NodeId("none"), now);
  for (const auto& [node, count] : sent) {
    EXPECT_NEAR(count, 1000, 250);
  }
}

TEST(Balancer, AvoidsASlowTarget) {
  Balancer balancer = MakeBalancer(4);
  Millis now(0);
  SendMany(balancer, 200, NodeId("none"), now);
  auto sent = SendMany(balancer, 4000, NodeId("n1"), now);
  EXPECT_LT(sent[NodeId("n1")], 40);
}

TEST(Balancer, ChoosesARecoveredTargetAgain) {
  Balancer balancer = MakeBalancer(4);
  Millis now(0);
  SendMany(balancer, 200, NodeId("none"), now);
  SendMany(balancer, 1000, NodeId("n1"), now);
  now += Millis(60'000);
  auto sent = SendMany(balancer, 4000, NodeId("none"), now);
  EXPECT_GT(sent[NodeId("n1")], 500);
}

TEST(Balancer, EjectsAfterRepeatedFailures) {
  Balancer balancer = MakeBalancer(4);
  for (int i = 0; i < 3; ++i) {
    RecordEnd(balancer, NodeId("n2"), SendOutcome::kFailed, kKind, Millis(1),
              Millis(i));
  }
  EXPECT_EQ(CountUsableTargets(balancer, Millis(10)), 3U);
}

TEST(Balancer, NeverEjectsMoreThanAThird) {
  Balancer balancer = MakeBalancer(6);
  // Iterates over an equal balancer, since RecordEnd() changes the targets.
  for (const auto& [node, target] : MakeBalancer(6).m_targets) {
    for (int i = 0; i < 5; ++i) {
      RecordEnd(balancer, node, SendOutcome::kFailed, kKind, Millis(1),
                Millis(i));
    }
  }
  EXPECT_EQ(CountUsableTargets(balancer, Millis(10)), 4U);
}

TEST(Balancer, NeverChoosesALeavingTarget) {
  Balancer balancer = MakeBalancer(2);
  LoadReport load;
  load.m_leaving = true;
  RecordLoad(balancer, NodeId("n0"), load, Millis(0));
  for (int i = 0; i < 10; ++i) {
    EXPECT_EQ(*ChooseTarget(balancer, {}, "r", {i / 10.0, 0.5}, Millis(1)),
              NodeId("n1"));
  }
}

TEST(Balancer, NewTargetHasHigherLoadScore) {
  Balancer balancer = MakeBalancer(4);
  Millis now(0);
  balancer.m_targets[NodeId("n3")].m_known_since = now;
  const double new_score = LoadScore(balancer.m_targets[NodeId("n3")], now);
  const double known_score = LoadScore(balancer.m_targets[NodeId("n0")], now);
  EXPECT_GT(new_score, known_score * 5);
}

RC_GTEST_PROP(Balancer, ChoosesAnUntriedTargetIfAny, ()) {
  const int count = *rc::gen::inRange(1, 8);
  const int tried_count = *rc::gen::inRange(0, 9);
  const double first = *rc::gen::inRange(0, 1000) / 1000.0;
  const double second = *rc::gen::inRange(0, 1000) / 1000.0;
  const Balancer balancer = MakeBalancer(count);
  std::vector<NodeId> tried;
  for (int i = 0; i < tried_count; ++i) {
    tried.emplace_back("n" + std::to_string(i));
  }
  const auto node =
      ChooseTarget(balancer, tried, "r", {first, second}, Millis(0));
  RC_ASSERT(node.has_value() == (tried_count < count));
  if (node) {
    RC_ASSERT(std::find(tried.begin(), tried.end(), *node) == tried.end());
  }
}

}  // namespace
}  // namespace hemlockpoint
