#ifndef HEMLOCKPOINT_WIRE_CODEC_H_
#define HEMLOCKPOINT_WIRE_CODEC_H_

#include <string>
#include <string_view>

#include "hemlockpoint/base/result.h"
#include "hemlockpoint/wire/message.h"

namespace hemlockpoint {

/// @brief Maximum size of an encoded message in bytes. A larger one closes the
/// link that it arrives on.
inline constexpr std::size_t kMaxMessageBytes = std::size_t{2} * 1024 * 1024;

/// @return The encoded message: the length of a CBOR map (RFC 8949), the map,
/// and the payload of the message.
[[nodiscard]] std::string EncodeMessage(const Message& message);

/// @param bytes One encoded message. May come from a hostile peer.
/// @return The message, or the first error found in the bytes.
[[nodiscard]] Result<Message> DecodeMessage(std::string_view bytes);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_WIRE_CODEC_H_
