#ifndef HEMLOCKPOINT_RUNTIME_AWAIT_H_
#define HEMLOCKPOINT_RUNTIME_AWAIT_H_

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

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

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RUNTIME_AWAIT_H_
