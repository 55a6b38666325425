#ifndef HEMLOCKPOINT_RUNTIME_AWAIT_H_
#define HEMLOCKPOINT_RUNTIME_AWAIT_H_

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

#include "hemlockpoint/runtime/fiber_event.h"

namespace hemlockpoint {

/// @brief Result of one asynchronous operation.
struct IoResult {
  boost::system::error_code m_error;
  std::size_t m_bytes = 0;
};

/// @brief Starts an Asio operation and suspends the calling fiber until its
/// handler has run.
/// @param start Starts the operation. Called once with the completion handler,
/// which takes (error_code, size_t).
/// @return The arguments of the completion handler.
template <typename Start>
[[nodiscard]] IoResult AwaitIo(Start&& start) {
  IoResult result;
  boost::fibers::context* waiting_fiber = boost::fibers::context::active();
  bool is_done = false;
  bool is_suspended = false;
  start([&](boost::system::error_code error, std::size_t bytes = 0) {
    result = {error, bytes};
    is_done = true;
    if (is_suspended) {
      boost::fibers::context::active()->schedule(waiting_fiber);
    }
  });
  if (!is_done) {
    is_suspended = true;
    waiting_fiber->suspend();
  }
  return result;
}

/// @brief An operation whose result a fiber awaits for a limited time.
struct PendingIo {
  /// Set once the handler of the operation has run.
  std::optional<IoResult> m_result;
  /// The fiber no longer waits.
  bool m_is_abandoned = false;
  FiberEvent m_changed;

  void Abandon() {
    m_is_abandoned = true;
    m_changed.Notify();
  }
};

/// @brief As AwaitIo(), but waits for a limited time. The operation is not
/// cancelled, so what it uses has to be kept by `owner`.
/// @param until Time as of SteadyNow().
/// @param owner Kept until the handler has run.
/// @param start Starts the operation, as for AwaitIo().
/// @return The arguments of the completion handler; nullopt if it has not run
/// at `until`, or when the operation was abandoned.
template <typename Start>
[[nodiscard]] std::optional<IoResult> AwaitIoUntil(
    Millis until,
    std::shared_ptr<void> owner,
    Start&& start,
    const std::shared_ptr<PendingIo>& pending = std::make_shared<PendingIo>()) {
  start([pending, owner = std::move(owner)](boost::system::error_code error,
                                            std::size_t bytes = 0) {
    pending->m_result = {error, bytes};
    pending->m_changed.Notify();
  });
  (void)pending->m_changed.WaitUntil(until, [&pending] {
    return pending->m_result || pending->m_is_abandoned;
  });
  return pending->m_result;
}

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RUNTIME_AWAIT_H_
