#ifndef HEMLOCKPOINT_TRANSPORT_BODY_PIPE_H_
#define HEMLOCKPOINT_TRANSPORT_BODY_PIPE_H_

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "hemlockpoint/runtime/fiber_event.h"

namespace hemlockpoint {

/// @brief Carries one body from a producer to a consumer on the same thread.
class BodyPipe {
 public:
  /// @brief Appends bytes; empty ones are ignored. The producer keeps to the
  /// window that it was granted.
  void Push(std::string bytes);

  /// @brief Marks the end of the body.
  void Finish();

  /// @brief Marks the body as cut off; bytes not yet read are dropped.
  void Fail();

  /// @brief Waits for the next bytes.
  /// @return Bytes; empty at the end; nothing when the body was cut off.
  [[nodiscard]] std::optional<std::string> Pop();

  /// @brief Sets a function that is told the size of what Pop() returned.
  void SetConsumedCallback(std::function<void(std::size_t)> consumed);

  /// @return Bytes pushed and not yet popped.
  [[nodiscard]] std::size_t buffered() const { return m_buffered; }

 private:
  std::deque<std::string> m_chunks;
  std::size_t m_buffered = 0;
  bool m_finished = false;
  bool m_failed = false;
  std::function<void(std::size_t)> m_consumed;
  FiberEvent m_changed;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TRANSPORT_BODY_PIPE_H_
