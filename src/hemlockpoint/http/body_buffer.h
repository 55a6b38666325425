#ifndef HEMLOCKPOINT_HTTP_BODY_BUFFER_H_
#define HEMLOCKPOINT_HTTP_BODY_BUFFER_H_

#include <algorithm>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>

#include "hemlockpoint/wire/call_messages.h"

namespace hemlockpoint::internal {

/// @brief Buffer for a piece of a body whose length isn't known; most such
/// bodies are short.
inline constexpr std::size_t kUnknownLengthBufferBytes = std::size_t{8} * 1024;

/// @param remaining Bytes of the body that are still to come, where known.
/// @return Size of the buffer for its next piece; larger buffers than needed
/// cost their clearing on each short body.
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
