#include "hemlockpoint/runtime/fiber_loop.h"

#include <gtest/gtest.h>

namespace hemlockpoint {
namespace {

constexpr std::size_t kMaxStackBytes = std::size_t{16} * 1024 * 1024;

// Starts fibers until there is no stack for more work of a kind. Returns their
// number.
std::size_t StartAsManyAsAllowed(FiberLoop& loop, FiberWork work) {
  std::size_t started = 0;
  while (loop.HasStackFor(work, started)) {
    loop.Spawn([] {});
    ++started;
  }
  return started;
}

// Guards against accepted work for which no stack is left, because new work has
// taken them all.
TEST(FiberLoop, NewWorkLeavesStacksForAcceptedWork) {
  FiberLoop loop;
  loop.SetMaxStackBytes(kMaxStackBytes);
  EXPECT_GT(StartAsManyAsAllowed(loop, FiberWork::kConnection), 0U);
  EXPECT_GT(StartAsManyAsAllowed(loop, FiberWork::kRequest), 0U);
  EXPECT_GT(StartAsManyAsAllowed(loop, FiberWork::kCall), 0U);
  EXPECT_GT(StartAsManyAsAllowed(loop, FiberWork::kControl), 0U);
  EXPECT_LE(loop.fibers(), *loop.max_fibers() + 1);
  // Fibers of accepted work are started all the same.
  loop.Spawn([] {});
  loop.Stop();
  loop.Run();
  EXPECT_EQ(loop.fibers(), 0U);
}

TEST(FiberLoop, AcceptsWorkAgainOnceStacksAreFree) {
  FiberLoop loop;
  loop.SetMaxStackBytes(kMaxStackBytes);
  (void)StartAsManyAsAllowed(loop, FiberWork::kRequest);
  EXPECT_FALSE(loop.HasStackFor(FiberWork::kRequest));
  bool has_stack = false;
  loop.Spawn([&] {
    SleepFor(Millis(5));
    has_stack = loop.HasStackFor(FiberWork::kRequest);
    loop.Stop();
  });
  loop.Run();
  EXPECT_TRUE(has_stack);
}

TEST(FiberLoop, IsNotLimitedByDefault) {
  const FiberLoop loop;
  EXPECT_TRUE(loop.HasStackFor(FiberWork::kConnection));
  EXPECT_FALSE(loop.max_fibers());
}

}  // namespace
}  // namespace hemlockpoint
