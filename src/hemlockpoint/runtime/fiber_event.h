#ifndef HEMLOCKPOINT_RUNTIME_FIBER_EVENT_H_
#define HEMLOCKPOINT_RUNTIME_FIBER_EVENT_H_

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>
#include <mutex>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Lets fibers of one thread wait until a condition over shared state
/// holds. The state's owner calls Notify() after each change.
class FiberEvent {
 public:
  /// @brief Wakes every waiting fiber to test its condition again.
  void Notify() { m_changed.notify_all(); }

  /// @brief Waits without a limit.
  template <typename Condition>
  void Wait(Condition condition) {
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    m_changed.wait(lock, condition);
  }

  /// @param until The time on SteadyNow()'s clock at which to give up.
  /// @return Whether the condition held before the time was over.
  template <typename Condition>
  [[nodiscard]] bool WaitUntil(Millis until, Condition condition) {
    const Millis left = Max(until - SteadyNow(), Millis(0));
    std::unique_lock<boost::fibers::mutex> lock(m_mutex);
    return m_changed.wait_for(lock, ToChrono(left), condition);
  }

 private:
  boost::fibers::mutex m_mutex;
  boost::fibers::condition_variable m_changed;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RUNTIME_FIBER_EVENT_H_
