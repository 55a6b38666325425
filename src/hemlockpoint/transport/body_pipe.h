#ifndef HEMLOCKPOINT_TRANSPORT_BODY_PIPE_H_
#define HEMLOCKPOINT_TRANSPORT_BODY_PIPE_H_

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include "hemlockpoint/runtime/fiber_event.h"

namespace hemlockpoint {

/// @brief Queue of the chunks of one body, between a producer and a consumer on
/// the same thread.
class BodyPipe {
 public:
  /// @brief Appends a chunk; an empty one is ignored. The pipe is not bounded:
  /// the flow control window bounds what the producer pushes.
  void Push(std::string bytes);

  /// @brief Marks the end of the body.
  void Finish();

  /// @brief Marks the body as truncated and discards unread chunks. Has no
  /// effect after Finish().
  void MarkTruncated();

  /// @brief Waits for the next chunk.
  /// @return The chunk; an empty string at the end of the body; nullopt if the
  /// body was truncated.
  [[nodiscard]] std::optional<std::string> Pop();

  /// @brief Sets a function that Pop() calls with the size of the chunk in
  /// bytes.
  void SetConsumedCallback(std::function<void(std::size_t)> callback);

  /// @return Bytes pushed and not yet popped.
  [[nodiscard]] std::size_t buffered() const { return m_buffered; }

 private:
  std::deque<std::string> m_chunks;
  std::size_t m_buffered = 0;
  bool m_is_finished = false;
  bool m_is_truncated = false;
  std::function<void(std::size_t)> m_on_consumed;
  FiberEvent m_changed;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TRANSPORT_BODY_PIPE_H_
