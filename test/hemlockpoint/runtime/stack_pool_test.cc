#include "hemlockpoint/runtime/stack_pool.h"

#include <gtest/gtest.h>

#include <cstring>
#include <vector>

namespace hemlockpoint {
namespace {

constexpr std::size_t kStackBytes = std::size_t{64} * 1024;
constexpr std::size_t kStacks = 40;

char* LowestByte(const boost::context::stack_context& stack) {
  return static_cast<char*>(stack.sp) - stack.size;
}

TEST(StackPool, StacksAreWritableAndApart) {
  StackPool pool(kStackBytes);
  std::vector<boost::context::stack_context> stacks;
  for (std::size_t i = 0; i < kStacks; ++i) {
    stacks.push_back(pool.allocate());
    std::memset(LowestByte(stacks.back()), static_cast<int>(i), kStackBytes);
  }
  EXPECT_EQ(pool.used(), kStacks);
  for (std::size_t i = 0; i < kStacks; ++i) {
    EXPECT_EQ(LowestByte(stacks[i])[0], static_cast<char>(i));
    EXPECT_EQ(LowestByte(stacks[i])[kStackBytes - 1], static_cast<char>(i));
    pool.deallocate(stacks[i]);
  }
  EXPECT_EQ(pool.used(), 0U);
}

TEST(StackPool, ReusesAFreedStack) {
  StackPool pool(kStackBytes);
  boost::context::stack_context stack = pool.allocate();
  char* const first = LowestByte(stack);
  pool.deallocate(stack);
  stack = pool.allocate();
  EXPECT_EQ(LowestByte(stack), first);
  pool.deallocate(stack);
}

// Guards against an overflow of a stack that overwrites the one below it.
TEST(StackPoolDeathTest, AnOverflowEndsTheProcess) {
  StackPool pool(kStackBytes);
  boost::context::stack_context stack = pool.allocate();
  EXPECT_DEATH(*static_cast<volatile char*>(LowestByte(stack) - 1) = 1, "");
  pool.deallocate(stack);
}

}  // namespace
}  // namespace hemlockpoint
