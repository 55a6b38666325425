#include "hemlockpoint/dispatch/retry_after_table.h"

#include <gtest/gtest.h>

#include "hemlockpoint/dispatch/slot_queue.h"

namespace hemlockpoint {
namespace {

const Fingerprint kRequest(7);

TEST(RetryAfterTable, RecognizesAReturnAfterTheDelay) {
  RetryAfterTable table;
  RecordRetryAfter(table, kRequest, Millis(500), Millis(5000), Millis(1000));
  EXPECT_TRUE(IsOnTimeReturn(table, kRequest, Millis(1500)));
  EXPECT_FALSE(IsOnTimeReturn(table, Fingerprint(8), Millis(1500)));
}

TEST(RetryAfterTable, TreatsAnEarlyReturnAsANewRequest) {
  RetryAfterTable table;
  RecordRetryAfter(table, kRequest, Millis(500), Millis(5000), Millis(1000));
  EXPECT_FALSE(IsOnTimeReturn(table, kRequest, Millis(1050)));
}

TEST(RetryAfterTable, CapsTheDelayAtAThirdOfTheTimeLeft) {
  RetryAfterTable table;
  RecordRetryAfter(table, kRequest, Millis(4000), Millis(1500), Millis(0));
  EXPECT_TRUE(IsOnTimeReturn(table, kRequest, Millis(500)));
}

TEST(RetryAfterTable, ExpiresEntriesAndBoundsTheirNumber) {
  RetryAfterTable table;
  RecordRetryAfter(table, kRequest, Millis(500), Millis(5000), Millis(0));
  EXPECT_FALSE(
      IsOnTimeReturn(table, kRequest, Millis(501) + kReturnGracePeriod));
  for (std::size_t i = 0; i < kMaxRetryAfterEntries * 2; ++i) {
    RecordRetryAfter(table, Fingerprint(100 + i), Millis(500), Millis(5000),
                     Millis(0));
  }
  EXPECT_LE(table.m_entries.size(), kMaxRetryAfterEntries);
  EXPECT_EQ(table.m_entries.size(), table.m_order.size());
}

// Guards against requests that are refused again after they waited for their
// Retry-After delay. The load is 1.5 times the capacity, and each refused
// request is sent again once, after its delay.
TEST(RetryAfterTable, FewReturningRequestsAreRefusedTwiceInAnOverload) {
  int refused_twice[2] = {0, 0};
  int served[2] = {0, 0};
  for (const bool has_priority : {false, true}) {
    SlotQueue queue;
    queue.m_slots = 11;
    std::vector<std::pair<Millis, SlotCall>> running;
    std::vector<std::pair<Millis, SlotCall>> returns;
    for (int step = 0; step < 2000; ++step) {
      const Millis now(step * 5.0);
      for (auto active = running.begin(); active != running.end();) {
        const bool is_done = active->first <= now;
        if (is_done) {
          ReleaseSlot(queue, active->second, {Millis(100), true, false}, now);
          ++served[has_priority ? 1 : 0];
        }
        active = is_done ? running.erase(active) : std::next(active);
      }
      std::vector<std::pair<SlotCall, bool>> arrivals;
      for (auto call = returns.begin(); call != returns.end();) {
        const bool is_due = call->first <= now;
        if (is_due) {
          arrivals.push_back({call->second, true});
        }
        call = is_due ? returns.erase(call) : std::next(call);
      }
      // Three new requests in 20 ms. The ten usable slots complete two.
      if (step % 4 != 3) {
        SlotCall call;
        call.m_call = CallId(static_cast<std::uint64_t>(step) + 1);
        call.m_route = "count";
        call.m_rank = 2;
        arrivals.push_back({call, false});
      }
      for (auto& [call, is_return] : arrivals) {
        call.m_arrival = now;
        call.m_objective = now + Millis(400);
        call.m_deadline = now + Millis(2000);
        call.m_returning = is_return && has_priority;
        const OfferResult offer = OfferCall(queue, call, now);
        if (!offer.m_accepted && is_return) {
          ++refused_twice[has_priority ? 1 : 0];
        } else if (!offer.m_accepted) {
          returns.push_back({now + offer.m_refusal.m_retry_after, call});
        }
      }
      while (const auto next = TakeNextCall(queue, now)) {
        running.push_back({now + Millis(100), *next});
      }
    }
  }
  EXPECT_GT(refused_twice[0], 100);
  EXPECT_LT(refused_twice[1] * 5, refused_twice[0]);
  EXPECT_GE(served[1] * 20, served[0] * 19);
}

}  // namespace
}  // namespace hemlockpoint
