#include "hemlockpoint/entry/filters.h"

#include <gtest/gtest.h>

#include "hemlockpoint/admission/shed.h"

namespace hemlockpoint {
namespace {

const ServiceName kStock("stock");

struct Fixture {
  Fixture() {
    auto policy = std::make_shared<Policy>(DefaultPolicy());
    policy->m_revision = Revision(5);
    m_policy = policy;
    m_call.m_policy = policy;
    m_call.m_request.m_service = kStock;
    m_call.m_request.m_method = "GET";
    m_call.m_request.m_path = "/count";
    m_call.m_caller = CallerName("gate-1");
    m_call.m_request.m_caller = "gate-1";
    m_call.m_kind = KindOf(kStock, "GET", "/count");
    m_call.m_root = RequestId("n-1");
    m_state.m_services[kStock].m_targets[NodeId("t")] = TargetView();
  }

  std::optional<Refusal> Run(Millis now = Millis(0)) {
    m_call.m_verdict = ClassifyCall(
        *m_policy, {m_call.m_caller.value(), "stock", "GET", "/count"});
    const std::vector<double> randoms(EntryFilters().size(), 0.5);
    return RunFilters(m_state, m_call, randoms, now);
  }

  std::shared_ptr<Policy> m_policy;
  EntryFilterState m_state;
  EntryCall m_call;
};

TEST(Filters, PassOrdinaryCall) {
  Fixture fixture;
  EXPECT_FALSE(fixture.Run());
}

TEST(Filters, RefuseBlockedCallNamingRule) {
  Fixture fixture;
  BlockRule block;
  block.m_name = {"stock", "closed"};
  fixture.m_policy->m_block_rules.push_back(block);
  const auto refusal = fixture.Run();
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->m_decider, Decider::kOperator);
  EXPECT_EQ(refusal->m_rule.m_revision, Revision(5));
  EXPECT_EQ(refusal->m_rule.m_rule, "closed");
}

TEST(Filters, RefuseCallAtMaxDepth) {
  Fixture fixture;
  fixture.m_call.m_depth = fixture.m_policy->m_max_depth;
  EXPECT_EQ(fixture.Run()->m_reason, Reason::kDepthLimit);
}

TEST(Filters, EnforceRateCap) {
  Fixture fixture;
  RateCapRule cap;
  cap.m_name = {"stock", "cap"};
  cap.m_per_second_per_node = 10;
  cap.m_burst = 5;
  fixture.m_policy->m_cap_rules.push_back(cap);
  int passed = 0;
  for (int i = 0; i < 100; ++i) {
    const auto refusal = fixture.Run(Millis(i * 10.0));
    passed += refusal && refusal->m_reason == Reason::kCallerCap ? 0 : 1;
  }
  EXPECT_NEAR(passed, 15, 1);
}

TEST(Filters, RefuseCallAboveThresholdOfAllTargets) {
  Fixture fixture;
  RecordThreshold(fixture.m_state.m_thresholds, fixture.m_call.m_kind,
                  NodeId("t"), 0, Millis(0));
  const auto refusal = fixture.Run(Millis(10));
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->m_reason, Reason::kShed);
  EXPECT_EQ(refusal->m_decider, Decider::kSystem);
  EXPECT_FALSE(fixture.Run(kThresholdMaxAge));
}

// Guards against counting passed calls that have not ended yet as refused,
// which throttled services with long calls.
TEST(Filters, CallsInFlightDoNotCauseThrottling) {
  Fixture fixture;
  for (int i = 0; i < 100; ++i) {
    EXPECT_FALSE(fixture.Run(Millis(i * 10.0)));
  }
}

TEST(Filters, ChargeResendToCaller) {
  Fixture fixture;
  FailedRequest failure;
  failure.m_root = RequestId("n-0");
  failure.m_count = 10;
  RecordFailedRequest(fixture.m_state.m_resends, Fingerprint(), failure);
  EXPECT_FALSE(fixture.Run());
  EXPECT_EQ(fixture.m_call.m_root, RequestId("n-0"));
  EXPECT_EQ(fixture.Run()->m_reason, Reason::kCallerRetryBudget);
}

TEST(Filters, IgnoreResendsWithoutCallerName) {
  Fixture fixture;
  fixture.m_call.m_request.m_caller = "";
  FailedRequest failure;
  failure.m_count = 10;
  RecordFailedRequest(fixture.m_state.m_resends, Fingerprint(), failure);
  EXPECT_FALSE(fixture.Run());
  EXPECT_FALSE(fixture.Run());
}

TEST(Filters, RefuseQuarantinedRequest) {
  Fixture fixture;
  RecordCrash(fixture.m_state.m_quarantine, {{Fingerprint(), true}}, Millis(0));
  EXPECT_EQ(fixture.Run(Millis(1))->m_reason, Reason::kQuarantined);
}

}  // namespace
}  // namespace hemlockpoint
