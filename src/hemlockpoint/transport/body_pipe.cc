#include "hemlockpoint/transport/body_pipe.h"

#include <utility>

namespace hemlockpoint {

void BodyPipe::Push(std::string bytes) {
  if (bytes.empty() || m_is_truncated) {
    return;
  }
  m_buffered += bytes.size();
  m_chunks.push_back(std::move(bytes));
  m_changed.Notify();
}

void BodyPipe::Finish() {
  m_is_finished = true;
  m_changed.Notify();
}

void BodyPipe::MarkTruncated() {
  if (m_is_finished) {
    return;
  }
  m_is_truncated = true;
  m_chunks.clear();
  m_buffered = 0;
  m_changed.Notify();
}

std::optional<std::string> BodyPipe::Pop() {
  m_changed.Wait(
      [this] { return m_is_truncated || m_is_finished || !m_chunks.empty(); });
  if (m_is_truncated) {
    return std::nullopt;
  }
  if (m_chunks.empty()) {
    return std::string();
  }
  std::string bytes = std::move(m_chunks.front());
  m_chunks.pop_front();
  m_buffered -= bytes.size();
  if (m_on_consumed) {
    m_on_consumed(bytes.size());
  }
  return bytes;
}

void BodyPipe::SetConsumedCallback(std::function<void(std::size_t)> callback) {
  m_on_consumed = std::move(callback);
}

}  // namespace hemlockpoint
