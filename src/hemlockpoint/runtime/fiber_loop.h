#ifndef HEMLOCKPOINT_RUNTIME_FIBER_LOOP_H_
#define HEMLOCKPOINT_RUNTIME_FIBER_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Kinds of work that start fibers. Where the memory for stacks is
/// limited, a kind may use a share of it, so that accepted work can be finished
/// when new work has to be rejected.
enum class FiberWork : unsigned char {
  /// A connection of a client.
  kConnection,
  /// A request of a client.
  kRequest,
  /// A call to the local target.
  kCall,
  /// Requests of operators, readiness checks and announcements.
  kControl,
};

/// @brief Runs an Asio io_context, and the fibers that wait for its operations,
/// on the thread that constructs the loop.
///
/// Completion handlers run while no fiber is ready. They may wake or start
/// fibers but must not suspend.
class FiberLoop {
 public:
  FiberLoop();
  ~FiberLoop();
  FiberLoop(const FiberLoop&) = delete;
  FiberLoop& operator=(const FiberLoop&) = delete;

  [[nodiscard]] boost::asio::io_context& io();

  /// @brief Starts a detached fiber. May be called from handlers and fibers.
  void Spawn(std::function<void()> body);

  /// @brief Limits the address space of the fibers' stacks. Without a call it
  /// is not limited.
  void SetMaxStackBytes(std::size_t bytes);

  /// @param running The number of fibers of this kind of work.
  /// @return Whether another one may be started for new work. Fibers that
  /// accepted work needs are always started.
  [[nodiscard]] bool HasStackFor(FiberWork work, std::size_t running = 0) const;

  /// @brief Starts a fiber that calls `tick` immediately and again each time
  /// `period` has passed since `tick` returned, until Stop().
  void SpawnPeriodic(Millis period, std::function<void()> tick);

  /// @brief Runs the loop until Stop() was called and every fiber has returned.
  void Run();

  /// @brief Makes Run() return once the remaining fibers have returned.
  void Stop();

  /// @return Whether Stop() was called.
  [[nodiscard]] bool stopping() const;

  /// @return The number of fibers that have not returned.
  [[nodiscard]] std::size_t fibers() const;

  /// @return The number of fibers for which stacks may be used; nullopt if it
  /// is not limited.
  [[nodiscard]] std::optional<std::size_t> max_fibers() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

/// @brief Suspends the calling fiber for a duration.
void SleepFor(Millis duration);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RUNTIME_FIBER_LOOP_H_
