#ifndef HEMLOCKPOINT_WIRE_CODEC_H_
#define HEMLOCKPOINT_WIRE_CODEC_H_

#include <string>
#include <string_view>

#include "hemlockpoint/base/result.h"
#include "hemlockpoint/wire/message.h"

namespace hemlockpoint {

/// @brief Largest encoded message; larger frames close their link.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{2} * 1024 * 1024;

/// @brief Deepest nesting of maps and arrays in a message.
inline constexpr int kMaxMessageDepth = 16;

/// @return The message as one CBOR map (RFC 8949).
[[nodiscard]] std::string EncodeMessage(const Message& message);

/// @param bytes Anything; safe on bytes from a hostile peer.
/// @return The message, or the first fault found in the bytes.
[[nodiscard]] Result<Message> DecodeMessage(std::string_view bytes);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_WIRE_CODEC_H_
