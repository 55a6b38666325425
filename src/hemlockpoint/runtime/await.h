#ifndef HEMLOCKPOINT_RUNTIME_AWAIT_H_
#define HEMLOCKPOINT_RUNTIME_AWAIT_H_

#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>

namespace hemlockpoint {

/// @brief Outcome of one asynchronous operation.
struct IoResult {
  boost::system::error_code m_error;
  std::size_t m_bytes = 0;
};

/// @brief Starts an Asio operation and suspends the calling fiber until its
/// handler has run.
/// @param start Called with the handler, a function of (error_code, size_t).
/// @return The handler's arguments.
template <typename Start>
[[nodiscard]] IoResult AwaitIo(Start&& start) {
  IoResult result;
  boost::fibers::context* waiting = boost::fibers::context::active();
  bool done = false;
  bool suspended = false;
  start([&](boost::system::error_code error, std::size_t bytes = 0) {
    result = {error, bytes};
    done = true;
    if (suspended) {
      boost::fibers::context::active()->schedule(waiting);
    }
  });
  if (!done) {
    suspended = true;
    waiting->suspend();
  }
  return result;
}

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RUNTIME_AWAIT_H_
