#include "hemlockpoint/dispatch/slot_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace hemlockpoint {
namespace {

SlotCall MakeCall(std::uint64_t id, std::uint64_t rank, bool nested) {
  SlotCall call;
  call.m_call = CallId(id);
  call.m_rank = rank;
  call.m_nested = nested;
  call.m_route = nested ? "nested" : "root" + std::to_string(rank);
  call.m_deadline = Millis(5000);
  call.m_objective = Millis(2000);
  return call;
}

SlotQueue MakeQueue(std::size_t slots, double service_ms) {
  SlotQueue queue;
  queue.m_slots = slots;
  for (const char* route : {"nested", "root0", "root1", "root2"}) {
    RecordServiceTime(queue.m_service_times, route, Millis(service_ms));
  }
  return queue;
}

void FillSlots(SlotQueue& queue) {
  std::uint64_t id = 1000;
  do {
    queue.m_waiting.push_back(MakeCall(++id, 0, true));
  } while (TakeNextCall(queue, Millis(0)));
  queue.m_waiting.clear();
}

TEST(SlotQueue, ServesNestedCallsBeforeRootCalls) {
  SlotQueue queue = MakeQueue(20, 50);
  // Root calls hold more than their share.
  queue.m_running_root_calls = 10;
  ASSERT_TRUE(OfferCall(queue, MakeCall(1, 0, false), Millis(0)).m_accepted);
  ASSERT_TRUE(OfferCall(queue, MakeCall(2, 5, true), Millis(0)).m_accepted);
  EXPECT_EQ(TakeNextCall(queue, Millis(0))->m_call, CallId(2));
  EXPECT_EQ(TakeNextCall(queue, Millis(0))->m_call, CallId(1));
}

TEST(SlotQueue, ReservesSlotsForRootCalls) {
  SlotQueue queue = MakeQueue(20, 50);
  for (std::uint64_t i = 0; i < 100; ++i) {
    ASSERT_TRUE(OfferCall(queue, MakeCall(i, 0, true), Millis(0)).m_accepted);
  }
  ASSERT_TRUE(OfferCall(queue, MakeCall(200, 2, false), Millis(0)).m_accepted);
  EXPECT_EQ(TakeNextCall(queue, Millis(0))->m_call, CallId(200));
}

TEST(SlotQueue, RefusesOnArrivalACallThatWouldMissItsObjective) {
  SlotQueue queue = MakeQueue(4, 500);
  FillSlots(queue);
  for (std::uint64_t i = 0; i < 9; ++i) {
    queue.m_waiting.push_back(MakeCall(i, 2, false));
  }
  // Ten calls of 500 ms over three usable slots take longer than the objective.
  const OfferResult offer = OfferCall(queue, MakeCall(50, 2, false), Millis(0));
  ASSERT_FALSE(offer.m_accepted);
  EXPECT_EQ(offer.m_refusal.m_execution, Execution::kNotRun);
  EXPECT_GT(offer.m_refusal.m_retry_after, Millis(1000));
  // A call of rank 0 may wait until its deadline.
  EXPECT_TRUE(OfferCall(queue, MakeCall(51, 0, false), Millis(0)).m_accepted);
}

TEST(SlotQueue, TakesImportantCallsFirstAndLateCallsLast) {
  SlotQueue queue = MakeQueue(20, 100);
  SlotCall late = MakeCall(1, 2, false);
  late.m_objective = Millis(50);
  queue.m_waiting = {late, MakeCall(2, 2, false), MakeCall(3, 1, false)};
  EXPECT_EQ(TakeNextCall(queue, Millis(0))->m_call, CallId(3));
  EXPECT_EQ(TakeNextCall(queue, Millis(0))->m_call, CallId(2));
  EXPECT_EQ(TakeNextCall(queue, Millis(0))->m_call, CallId(1));
}

TEST(SlotQueue, RemovesRootCallsThatCannotMeetTheirDeadline) {
  SlotQueue queue = MakeQueue(1, 1000);
  queue.m_waiting = {MakeCall(1, 2, false), MakeCall(2, 2, true)};
  const auto dropped = TakeUnreachableCalls(queue, Millis(4200));
  ASSERT_EQ(dropped.size(), 1U);
  EXPECT_EQ(dropped[0].m_call, CallId(1));
}

RC_GTEST_PROP(SlotQueue,
              NeverTakesMoreThanItsSlots,
              (const std::vector<std::pair<unsigned char, bool>>& offers)) {
  SlotQueue queue = MakeQueue(10, 20);
  std::vector<SlotCall> running;
  std::uint64_t id = 0;
  for (const auto& [rank, nested] : offers) {
    (void)OfferCall(queue, MakeCall(++id, rank % 3, nested), Millis(0));
    while (const auto call = TakeNextCall(queue, Millis(0))) {
      running.push_back(*call);
    }
    RC_ASSERT(running.size() <= 10);
    if (id % 4 == 0 && !running.empty()) {
      ReleaseSlot(queue, running.back(), {Millis(20), true, id % 3 == 0},
                  Millis(0));
      running.pop_back();
    }
  }
  RC_ASSERT(queue.m_running == running.size());
}

}  // namespace
}  // namespace hemlockpoint
