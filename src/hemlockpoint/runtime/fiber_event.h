#ifndef HEMLOCKPOINT_RUNTIME_FIBER_EVENT_H_
#define HEMLOCKPOINT_RUNTIME_FIBER_EVENT_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Condition variable for the fibers of one thread. Call Notify() after
/// each change of state that a condition reads. Users need no lock, because all
/// fibers run on one thread.
class FiberEvent {
 public:
  /// @brief Wakes every waiting fiber, which then tests its condition again.
  void Notify() { m_condition_variable.notify_all(); }

  /// @brief Suspends the calling fiber until the condition holds.
  template <typename Condition>
  void Wait(Condition condition) {
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    m_condition_variable.wait(lock, condition);
  }

  /// @brief Suspends the calling fiber until the condition holds or `until` is
  /// reached.
  /// @param until Time as of SteadyNow().
  /// @return Whether the condition holds.
  template <typename Condition>
  [[nodiscard]] bool WaitUntil(Millis until, Condition condition) {
    const Millis left = Max(until - SteadyNow(), Millis(0));
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    return m_condition_variable.wait_for(lock, ToChrono(left), condition);
  }

 private:
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_condition_variable;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RUNTIME_FIBER_EVENT_H_
