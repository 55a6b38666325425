#include "hemlockpoint/dispatch/refused_requests.h"

#include <gtest/gtest.h>

#include <string>

namespace hemlockpoint {
namespace {

TEST(RefusedRequests, KnowsTheRequestsThatWereRefusedLast) {
  RefusedRequests requests;
  for (std::size_t i = 0; i <= kMaxRefusedRequests; ++i) {
    RecordRefused(requests, RequestId("q" + std::to_string(i)));
  }
  EXPECT_FALSE(WasRefused(requests, RequestId("q0")));
  EXPECT_TRUE(WasRefused(requests, RequestId("q1")));
  EXPECT_TRUE(WasRefused(requests,
                         RequestId("q" + std::to_string(kMaxRefusedRequests))));
  EXPECT_EQ(requests.m_ids.size(), kMaxRefusedRequests);
}

TEST(RefusedRequests, CountsARequestOnce) {
  RefusedRequests requests;
  RecordRefused(requests, RequestId("q"));
  RecordRefused(requests, RequestId("q"));
  EXPECT_EQ(requests.m_order.size(), 1U);
}

}  // namespace
}  // namespace hemlockpoint
