#include "hemlockpoint/admission/call_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace hemlockpoint {
namespace {

QueuedCall MakeCall(std::uint64_t id,
                    std::size_t priority_class,
                    double deadline,
                    double arrival = 0) {
  QueuedCall call;
  call.m_call = CallId(id);
  call.m_class = priority_class;
  call.m_deadline = Millis(deadline);
  call.m_arrival = Millis(arrival);
  return call;
}

bool AcceptAny(const QueuedCall&) {
  return true;
}

TEST(CallQueue, TakesTheMostImportantClassFirst) {
  CallQueue queue;
  EXPECT_FALSE(Enqueue(queue, MakeCall(1, 3, 100), 10, Millis(0)));
  EXPECT_FALSE(Enqueue(queue, MakeCall(2, 0, 900), 10, Millis(0)));
  EXPECT_EQ(DequeueNext(queue, AcceptAny, Millis(1))->m_call, CallId(2));
}

TEST(CallQueue, TakesTheEarliestDeadlineWithinAClass) {
  CallQueue queue;
  EXPECT_FALSE(Enqueue(queue, MakeCall(1, 1, 900), 10, Millis(0)));
  EXPECT_FALSE(Enqueue(queue, MakeCall(2, 1, 100), 10, Millis(0)));
  EXPECT_EQ(DequeueNext(queue, AcceptAny, Millis(1))->m_call, CallId(2));
}

TEST(CallQueue, TakesTheNewestWhileStanding) {
  CallQueue queue;
  EXPECT_FALSE(Enqueue(queue, MakeCall(1, 1, 5000, 0), 10, Millis(0)));
  EXPECT_FALSE(Enqueue(queue, MakeCall(2, 1, 9000, 300), 10, Millis(300)));
  ASSERT_TRUE(IsStandingQueue(queue, Millis(300)));
  EXPECT_EQ(DequeueNext(queue, AcceptAny, Millis(300))->m_call, CallId(2));
}

TEST(CallQueue, PassesOverCallsThatMayNotRun) {
  CallQueue queue;
  QueuedCall long_call = MakeCall(1, 0, 100);
  long_call.m_long = true;
  EXPECT_FALSE(Enqueue(queue, long_call, 10, Millis(0)));
  EXPECT_FALSE(Enqueue(queue, MakeCall(2, 4, 900), 10, Millis(0)));
  const auto is_short = [](const QueuedCall& call) { return !call.m_long; };
  EXPECT_EQ(DequeueNext(queue, is_short, Millis(1))->m_call, CallId(2));
  EXPECT_FALSE(DequeueNext(queue, is_short, Millis(1)));
}

TEST(CallQueue, RemovesACancelledCall) {
  CallQueue queue;
  EXPECT_FALSE(Enqueue(queue, MakeCall(1, 1, 900), 10, Millis(0)));
  EXPECT_TRUE(RemoveCall(queue, CallId(1)));
  EXPECT_FALSE(RemoveCall(queue, CallId(1)));
  EXPECT_EQ(queue.m_size, 0U);
}

RC_GTEST_PROP(CallQueue, AFullQueueKeepsTheMostImportantCalls, ()) {
  constexpr std::size_t kCapacity = 8;
  const auto classes = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, kMaxClasses));
  CallQueue queue;
  for (std::size_t i = 0; i < classes.size(); ++i) {
    const auto displaced =
        Enqueue(queue, MakeCall(i, classes[i], 100), kCapacity, Millis(0));
    if (displaced) {
      // No call less important than the displaced one may remain queued.
      for (std::size_t c = displaced->m_class + 1; c < kMaxClasses; ++c) {
        RC_ASSERT(queue.m_classes[c].empty());
      }
    }
    RC_ASSERT(queue.m_size <= kCapacity);
  }
  std::vector<std::size_t> order = classes;
  std::sort(order.begin(), order.end());
  order.resize(std::min(order.size(), kCapacity));
  for (const std::size_t expected : order) {
    RC_ASSERT(DequeueNext(queue, AcceptAny, Millis(1))->m_class == expected);
  }
}

}  // namespace
}  // namespace hemlockpoint
