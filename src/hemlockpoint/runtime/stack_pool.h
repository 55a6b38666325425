#ifndef HEMLOCKPOINT_RUNTIME_STACK_POOL_H_
#define HEMLOCKPOINT_RUNTIME_STACK_POOL_H_

#include <boost/context/stack_context.hpp>
#include <boost/context/stack_traits.hpp>
#include <cstddef>
#include <memory>

namespace hemlockpoint {

/// @brief Allocates stacks of one size for fibers. Below each stack lies an
/// inaccessible page, so that an overflow ends the process where it happens.
/// Freed stacks are used again; their memory is returned with the last copy of
/// the pool.
///
/// Satisfies the StackAllocator concept of Boost.Context. Copies share the
/// stacks, since each fiber keeps a copy until its stack is freed.
class StackPool {
 public:
  using traits_type = boost::context::stack_traits;

  /// @param stack_bytes Usable size of a stack; a multiple of the page size.
  explicit StackPool(std::size_t stack_bytes);

  /// @throws std::bad_alloc if no memory can be mapped.
  [[nodiscard]] boost::context::stack_context allocate();
  void deallocate(boost::context::stack_context& stack) noexcept;

  /// @return The number of stacks in use.
  [[nodiscard]] std::size_t used() const;

  /// @return The address space of one stack, in bytes.
  [[nodiscard]] std::size_t bytes_per_stack() const;

 private:
  struct State;
  std::shared_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RUNTIME_STACK_POOL_H_
