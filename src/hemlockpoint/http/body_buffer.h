#ifndef HEMLOCKPOINT_HTTP_BODY_BUFFER_H_
#define HEMLOCKPOINT_HTTP_BODY_BUFFER_H_

#include <algorithm>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>

#include "hemlockpoint/wire/call_messages.h"

namespace hemlockpoint::internal {

/// @brief Size of the read buffer for a body of unknown length. Most such
/// bodies are short.
inline constexpr std::size_t kUnknownLengthBufferBytes = std::size_t{8} * 1024;

/// @param remaining Unread bytes of the body, if known.
/// @return Size in bytes of the buffer for the next read. The buffer is
/// zeroed before each read, so it should not be larger than the body.
[[nodiscard]] inline std::size_t BodyBufferSize(
    const boost::optional<std::uint64_t>& remaining) {
  if (!remaining) {
    return kUnknownLengthBufferBytes;
  }
  return static_cast<std::size_t>(
      std::clamp<std::uint64_t>(*remaining, 1, kMaxChunkBytes));
}

}  // namespace hemlockpoint::internal

#endif  // HEMLOCKPOINT_HTTP_BODY_BUFFER_H_
