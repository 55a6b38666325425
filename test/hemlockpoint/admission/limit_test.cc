#include "hemlockpoint/admission/limit.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace hemlockpoint {
namespace {

constexpr double kSlots = 40;

// Model of a target, one window at a time. Service times grow with the
// concurrency above the number of calls that the target processes in parallel.
struct SimulatedTarget {
  double m_parallelism = kSlots;
  double m_slowdown = 1;

  [[nodiscard]] double Slowness(double concurrency) const {
    return m_slowdown * std::max(1.0, concurrency / m_parallelism);
  }
  [[nodiscard]] double Completions(double concurrency) const {
    constexpr double kPerWindow = 10;
    return kPerWindow * concurrency / Slowness(concurrency);
  }
};

struct Simulation {
  Simulation() {
    SetSlots(m_limit, kSlots, true, m_now);
    m_now += Millis(10'000);
  }

  void RunWindows(int count, const SimulatedTarget& target) {
    for (int i = 0; i < count; ++i) {
      const auto limit = static_cast<double>(CurrentLimit(m_limit, m_now));
      const auto done = static_cast<int>(target.Completions(limit));
      for (int k = 0; k < done; ++k) {
        RecordCompletion(m_limit, target.Slowness(limit));
      }
      m_now += kLimitWindow;
      UpdateLimit(m_limit, target.Slowness(limit), m_now);
    }
  }

  [[nodiscard]] double Limit() const {
    return static_cast<double>(CurrentLimit(m_limit, m_now));
  }

  LimitState m_limit;
  Millis m_now{1000};
};

TEST(Limit, NeverExceedsTheAnnouncedSlots) {
  Simulation simulation;
  simulation.RunWindows(100, SimulatedTarget());
  EXPECT_EQ(simulation.Limit(), kSlots);
}

TEST(Limit, ColdTargetRampsUp) {
  LimitState limit;
  SetSlots(limit, kSlots, true, Millis(0));
  const std::uint64_t cold = CurrentLimit(limit, Millis(0));
  const std::uint64_t warm = CurrentLimit(limit, Millis(10'000));
  EXPECT_LE(static_cast<double>(cold), kSlots * 0.25);
  EXPECT_EQ(static_cast<double>(warm), kSlots);
}

TEST(Limit, BriefSlowdownChangesNothing) {
  Simulation simulation;
  simulation.RunWindows(20, SimulatedTarget());
  simulation.RunWindows(2, SimulatedTarget{kSlots, 5});
  EXPECT_EQ(simulation.Limit(), kSlots);
  simulation.RunWindows(5, SimulatedTarget());
  EXPECT_EQ(simulation.Limit(), kSlots);
}

TEST(Limit, ContentionLowersTheLimitWithinASecond) {
  Simulation simulation;
  simulation.RunWindows(20, SimulatedTarget());
  simulation.RunWindows(10, SimulatedTarget{4, 1});
  EXPECT_LE(simulation.Limit(), kSlots * 0.75);
}

TEST(Limit, RisesAgainWithinSeconds) {
  Simulation simulation;
  simulation.RunWindows(20, SimulatedTarget());
  simulation.RunWindows(30, SimulatedTarget{4, 1});
  ASSERT_LT(simulation.Limit(), kSlots / 2);
  simulation.RunWindows(30, SimulatedTarget());
  EXPECT_EQ(simulation.Limit(), kSlots);
}

// Guards against a lower limit for a target whose slowdown isn't caused by its
// concurrency; it would only lose throughput.
TEST(Limit, KeepsTheLimitWhereLoweringItCostsThroughput) {
  Simulation simulation;
  simulation.RunWindows(20, SimulatedTarget());
  double served = 0;
  const SimulatedTarget slow{kSlots, 4};
  for (int i = 0; i < 100; ++i) {
    served += slow.Completions(simulation.Limit());
    simulation.RunWindows(1, slow);
  }
  EXPECT_GE(served, 0.9 * 100 * slow.Completions(kSlots));
}

TEST(Limit, DetectsAStuckTargetWithoutCompletions) {
  Simulation simulation;
  simulation.RunWindows(20, SimulatedTarget());
  for (int i = 0; i < 15; ++i) {
    simulation.m_now += kLimitWindow;
    UpdateLimit(simulation.m_limit, 20, simulation.m_now);
  }
  EXPECT_LT(simulation.Limit(), kSlots);
  EXPECT_GE(simulation.Limit(), 1);
}

}  // namespace
}  // namespace hemlockpoint
