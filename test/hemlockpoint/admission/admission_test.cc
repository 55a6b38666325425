#include "hemlockpoint/admission/admission.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hemlockpoint {
namespace {

const KindName kKind("stock GET /count");

AdmissionState MakeState(double slots) {
  AdmissionState state;
  SetSlots(state.m_limit, slots, true, Millis(-100'000));
  return state;
}

OfferedCall MakeCall(std::uint64_t id, double deadline) {
  OfferedCall call;
  call.m_call = CallId(id);
  call.m_root = RequestId("r" + std::to_string(id));
  call.m_kind = kKind;
  call.m_deadline = Millis(deadline);
  return call;
}

void RecordDurations(AdmissionState& state,
                     const KindName& kind,
                     double duration) {
  for (int i = 0; i < 50; ++i) {
    RecordDuration(state.m_durations, kind, Millis(duration), Millis(i));
  }
}

TEST(Admission, RunsNoMoreThanTheLimit) {
  AdmissionState state = MakeState(3);
  for (std::uint64_t i = 0; i < 10; ++i) {
    EXPECT_TRUE(Offer(state, MakeCall(i, 1000), Millis(0)).empty());
  }
  EXPECT_EQ(Dispatch(state, Millis(0)).m_ready_calls.size(), 3U);
  EXPECT_TRUE(Dispatch(state, Millis(0)).m_ready_calls.empty());
  FinishCall(state, CallId(0));
  EXPECT_EQ(Dispatch(state, Millis(0)).m_ready_calls.size(), 1U);
}

TEST(Admission, DropsCallsThatCannotFinishInTime) {
  AdmissionState state = MakeState(1);
  EXPECT_TRUE(Offer(state, MakeCall(1, 90), Millis(0)).empty());
  EXPECT_TRUE(Offer(state, MakeCall(2, 100), Millis(0)).empty());
  ASSERT_EQ(Dispatch(state, Millis(0)).m_ready_calls.size(), 1U);
  RecordDurations(state, kKind, 50);
  const DispatchBatch batch = Dispatch(state, Millis(60));
  ASSERT_EQ(batch.m_dropped.size(), 1U);
  EXPECT_EQ(batch.m_dropped[0].m_refusal.m_reason,
            Reason::kDeadlineUnreachable);
  EXPECT_EQ(batch.m_dropped[0].m_refusal.m_execution, Execution::kNotRun);
}

TEST(Admission, LongWorkTakesOnlyItsShare) {
  AdmissionState state = MakeState(10);
  for (std::uint64_t i = 0; i < 10; ++i) {
    OfferedCall call = MakeCall(i, 100'000);
    call.m_long = true;
    EXPECT_TRUE(Offer(state, call, Millis(0)).empty());
  }
  EXPECT_EQ(Dispatch(state, Millis(0)).m_ready_calls.size(), 3U);
  EXPECT_TRUE(Offer(state, MakeCall(100, 1000), Millis(1)).empty());
  const DispatchBatch batch = Dispatch(state, Millis(1));
  ASSERT_EQ(batch.m_ready_calls.size(), 1U);
  EXPECT_EQ(batch.m_ready_calls[0], CallId(100));
}

// Guards against shedding that is triggered by long calls which wait for their
// share of the slots although the target is not overloaded.
TEST(Admission, WaitingLongWorkDoesNotCauseShedding) {
  AdmissionState state = MakeState(10);
  for (std::uint64_t i = 0; i < 20; ++i) {
    OfferedCall call = MakeCall(i, 1e9);
    call.m_long = true;
    EXPECT_TRUE(Offer(state, call, Millis(0)).empty());
  }
  for (int i = 1; i < 50; ++i) {
    (void)Dispatch(state, Millis(i * 50.0));
    EXPECT_TRUE(UpdateAdmission(state, Millis(i * 50.0)).empty());
  }
  EXPECT_EQ(state.m_shed.m_threshold, kNoShedding);
}

TEST(Admission, SuspectsRunOneAtATime) {
  AdmissionState state = MakeState(10);
  for (std::uint64_t i = 0; i < 3; ++i) {
    OfferedCall call = MakeCall(i, 1000);
    call.m_suspect = true;
    EXPECT_TRUE(Offer(state, call, Millis(0)).empty());
  }
  EXPECT_EQ(Dispatch(state, Millis(0)).m_ready_calls.size(), 1U);
}

TEST(Admission, ALoweredThresholdRefusesQueuedCalls) {
  AdmissionState state = MakeState(1);
  for (std::uint64_t i = 0; i < 50; ++i) {
    (void)Offer(state, MakeCall(i, 100'000), Millis(0));
  }
  (void)Dispatch(state, Millis(0));
  std::size_t shed = 0;
  for (int i = 1; i < 20; ++i) {
    for (const DroppedCall& drop : UpdateAdmission(state, Millis(i * 50.0))) {
      EXPECT_EQ(drop.m_refusal.m_reason, Reason::kShed);
      ++shed;
    }
  }
  EXPECT_GT(shed, 40U);
}

TEST(Admission, RefusesTheQueueOfALeavingTarget) {
  AdmissionState state = MakeState(1);
  EXPECT_TRUE(Offer(state, MakeCall(1, 1000), Millis(0)).empty());
  const auto dropped = DropQueuedCalls(state, Reason::kTargetLeaving);
  ASSERT_EQ(dropped.size(), 1U);
  EXPECT_EQ(dropped[0].m_refusal.m_execution, Execution::kNotRun);
}

}  // namespace
}  // namespace hemlockpoint
