#include "hemlockpoint/dispatch/retry_after_table.h"

#include <gtest/gtest.h>

#include "hemlockpoint/dispatch/slot_queue.h"

namespace hemlockpoint {
namespace {

const Fingerprint kRequest(7);

TEST(RetryAfterTable, RecognizesAReturnAfterTheDelay) {
  RetryAfterTable appointments;
  RecordRetryAfter(appointments, kRequest, Millis(500), Millis(5000),
                   Millis(1000));
  EXPECT_TRUE(IsOnTimeReturn(appointments, kRequest, Millis(1500)));
  EXPECT_FALSE(IsOnTimeReturn(appointments, Fingerprint(8), Millis(1500)));
}

TEST(RetryAfterTable, TreatsAnEarlyReturnAsANewRequest) {
  RetryAfterTable appointments;
  RecordRetryAfter(appointments, kRequest, Millis(500), Millis(5000),
                   Millis(1000));
  EXPECT_FALSE(IsOnTimeReturn(appointments, kRequest, Millis(1050)));
}

TEST(RetryAfterTable, CapsTheDelayAtAThirdOfTheTimeLeft) {
  RetryAfterTable appointments;
  RecordRetryAfter(appointments, kRequest, Millis(4000), Millis(1500),
                   Millis(0));
  EXPECT_TRUE(IsOnTimeReturn(appointments, kRequest, Millis(500)));
}

TEST(RetryAfterTable, ExpiresEntriesAndBoundsTheirNumber) {
  RetryAfterTable appointments;
  RecordRetryAfter(appointments, kRequest, Millis(500), Millis(5000),
                   Millis(0));
  EXPECT_FALSE(
      IsOnTimeReturn(appointments, kRequest, Millis(501) + kReturnGracePeriod));
  for (std::size_t i = 0; i < kMaxRetryAfterEntries * 2; ++i) {
    RecordRetryAfter(appointments, Fingerprint(100 + i), Millis(500),
                     Millis(5000), Millis(0));
  }
  EXPECT_LE(appointments.m_entries.size(), kMaxRetryAfterEntries);
  EXPECT_EQ(appointments.m_entries.size(), appointments.m_order.size());
}

// A crest of half as many requests again as there are slots for, in which
// every refused caller comes back once, as it was told.
TEST(RetryAfterTable, FewReturningRequestsAreRefusedTwiceInAnOverload) {
  int refused_twice[2] = {0, 0};
  int served[2] = {0, 0};
  for (const bool keeps : {false, true}) {
    SlotQueue queue;
    queue.m_slots = 11;
    std::vector<std::pair<Millis, SlotCall>> running;
    std::vector<std::pair<Millis, SlotCall>> returns;
    for (int step = 0; step < 2000; ++step) {
      const Millis now(step * 5.0);
      for (auto run = running.begin(); run != running.end();) {
        const bool done = run->first <= now;
        if (done) {
          ReleaseSlot(queue, run->second, {Millis(100), true, false}, now);
          ++served[keeps ? 1 : 0];
        }
        run = done ? running.erase(run) : std::next(run);
      }
      std::vector<std::pair<SlotCall, bool>> arrivals;
      for (auto call = returns.begin(); call != returns.end();) {
        const bool due = call->first <= now;
        if (due) {
          arrivals.push_back({call->second, true});
        }
        call = due ? returns.erase(call) : std::next(call);
      }
      // Three requests in 20 ms, where ten slots take two.
      if (step % 4 != 3) {
        SlotCall call;
        call.m_call = CallId(static_cast<std::uint64_t>(step) + 1);
        call.m_route = "count";
        call.m_rank = 2;
        arrivals.push_back({call, false});
      }
      for (auto& [call, back] : arrivals) {
        call.m_arrival = now;
        call.m_objective = now + Millis(400);
        call.m_deadline = now + Millis(2000);
        call.m_returning = back && keeps;
        const OfferResult offer = OfferCall(queue, call, now);
        if (!offer.m_accepted && back) {
          ++refused_twice[keeps ? 1 : 0];
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
