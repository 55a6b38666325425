#include "hemlockpoint/admission/shed.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>

namespace hemlockpoint {
namespace {

// Model of a target that completes a fixed number of calls per window, with the
// calls that wait for it.
struct Simulation {
  // Offers the given number of calls of each class per window, and returns the
  // admitted share of each class.
  std::vector<double> RunWindows(int count,
                                 const std::vector<int>& offered,
                                 int capacity) {
    std::vector<double> admitted(offered.size());
    std::vector<double> total(offered.size());
    for (int i = 0; i < count; ++i) {
      for (std::size_t c = 0; c < offered.size(); ++c) {
        for (int k = 0; k < offered[c]; ++k) {
          const double rank =
              RankOf(c, RequestId("r" + std::to_string(m_next_id++)));
          RecordOffered(m_shed, rank);
          ++total[c];
          if (!IsShed(m_shed, rank)) {
            ++admitted[c];
            ++m_queued;
          }
        }
      }
      const int served = std::min(capacity, m_queued);
      for (int k = 0; k < served; ++k) {
        RecordServed(m_shed);
      }
      m_queued -= served;
      m_now += kShedWindow;
      const Millis wait = kShedWindow * (static_cast<double>(m_queued) /
                                         static_cast<double>(capacity));
      UpdateShedThreshold(m_shed, wait, served == capacity, m_now);
      // Calls above the new threshold leave the queue.
      m_queued = std::min(m_queued, capacity);
    }
    for (std::size_t c = 0; c < offered.size(); ++c) {
      admitted[c] /= std::max(1.0, total[c]);
    }
    return admitted;
  }

  ShedState m_shed;
  Millis m_now{0};
  int m_queued = 0;
  int m_next_id = 0;
};

TEST(Shed, RefusesNothingWithoutOverload) {
  Simulation simulation;
  const auto share = simulation.RunWindows(50, {20, 20, 20}, 100);
  EXPECT_EQ(share, std::vector<double>({1, 1, 1}));
}

TEST(Shed, RefusesTheLeastImportantFirst) {
  Simulation simulation;
  simulation.RunWindows(10, {20, 40, 40, 100}, 100);
  const auto share = simulation.RunWindows(50, {20, 40, 40, 100}, 100);
  EXPECT_GE(share[0], 0.99);
  EXPECT_GE(share[1], 0.99);
  EXPECT_LE(share[3], 0.2);
}

TEST(Shed, KeepsTheTargetBusyAtTwiceItsCapacity) {
  Simulation simulation;
  simulation.RunWindows(10, {200}, 100);
  const auto share = simulation.RunWindows(50, {200}, 100);
  EXPECT_GE(share[0] * 200, 90);
}

TEST(Shed, AdmitsEverythingSoonAfterOverload) {
  Simulation simulation;
  simulation.RunWindows(100, {20, 300}, 100);
  simulation.RunWindows(15, {20, 30}, 100);
  const auto share = simulation.RunWindows(5, {20, 30}, 100);
  EXPECT_EQ(share, std::vector<double>({1, 1}));
}

RC_GTEST_PROP(Shed, RankIsTheSameAtEveryHop, (const std::string& id)) {
  const RequestId root(id);
  RC_ASSERT(RankOf(2, root) == RankOf(2, root));
  RC_ASSERT(RankOf(2, root) >= 2 && RankOf(2, root) < 3);
}

RC_GTEST_PROP(Shed, ThresholdStaysInRange, ()) {
  Simulation simulation;
  const auto offered =
      *rc::gen::container<std::vector<int>>(4, rc::gen::inRange(0, 300));
  const int capacity = *rc::gen::inRange(1, 200);
  simulation.RunWindows(20, offered, capacity);
  RC_ASSERT(simulation.m_shed.m_threshold >= 0);
  RC_ASSERT(simulation.m_shed.m_threshold <= kNoShedding);
}

}  // namespace
}  // namespace hemlockpoint
