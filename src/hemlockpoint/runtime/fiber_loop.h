#ifndef HEMLOCKPOINT_RUNTIME_FIBER_LOOP_H_
#define HEMLOCKPOINT_RUNTIME_FIBER_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Runs one Asio io_context and the fibers that wait on it, on the
/// thread that constructs it.
///
/// Completion handlers run while no fiber is ready; they may wake or start
/// fibers but must not wait.
class FiberLoop {
 public:
  FiberLoop();
  ~FiberLoop();
  FiberLoop(const FiberLoop&) = delete;
  FiberLoop& operator=(const FiberLoop&) = delete;

  [[nodiscard]] boost::asio::io_context& io();

  /// @brief Starts a detached fiber; may be called from handlers and fibers.
  void Spawn(std::function<void()> body);

  /// @brief Calls `tick` every `period` on a fiber of its own until Stop().
  void SpawnPeriodic(Millis period, std::function<void()> tick);

  /// @brief Runs until Stop() was called and every fiber has returned.
  void Run();

  /// @brief Makes Run() return once the remaining fibers have ended.
  void Stop();

  [[nodiscard]] bool stopping() const;

  /// @return The number of fibers that have not returned.
  [[nodiscard]] std::size_t fibers() const;

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

/// @brief Suspends the calling fiber for a duration.
void SleepFor(Millis duration);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RUNTIME_FIBER_LOOP_H_
