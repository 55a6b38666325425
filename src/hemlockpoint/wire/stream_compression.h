#ifndef HEMLOCKPOINT_WIRE_STREAM_COMPRESSION_H_
#define HEMLOCKPOINT_WIRE_STREAM_COMPRESSION_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "hemlockpoint/base/result.h"

namespace hemlockpoint {

/// @brief Compresses the messages of one direction of a link. All messages
/// share one deflate stream, because the heads of consecutive calls are
/// similar. A StreamDecompressor must receive the messages in the same order.
class StreamCompressor {
 public:
  /// @brief Maximum size in bytes of a message that is compressed. Larger
  /// messages are mostly bodies, which compress poorly and would evict the
  /// heads from the window.
  static constexpr std::size_t kMaxCompressedBytes = std::size_t{8} * 1024;

  StreamCompressor();
  ~StreamCompressor();
  StreamCompressor(StreamCompressor&&) noexcept;
  StreamCompressor& operator=(StreamCompressor&&) noexcept;

  /// @return The message as sent on the link: a byte that states the encoding,
  /// and the encoded message.
  [[nodiscard]] std::string Compress(std::string_view message);

 private:
  struct Stream;
  std::unique_ptr<Stream> m_stream;
};

/// @brief Frames a message without compression, for links that have no
/// StreamCompressor.
/// @return The message as sent on the link.
[[nodiscard]] std::string FrameUncompressed(std::string_view message);

/// @brief Restores messages that a StreamCompressor or FrameUncompressed() has
/// encoded.
class StreamDecompressor {
 public:
  StreamDecompressor();
  ~StreamDecompressor();
  StreamDecompressor(StreamDecompressor&&) noexcept;
  StreamDecompressor& operator=(StreamDecompressor&&) noexcept;

  /// @param max_bytes Maximum size of the message. It bounds the memory that a
  /// small compressed input can use.
  /// @return The message, or the error in the bytes. After an error the stream
  /// is unusable and the link must be closed.
  [[nodiscard]] Result<std::string> Decompress(std::string_view bytes,
                                               std::size_t max_bytes);

 private:
  struct Stream;
  std::unique_ptr<Stream> m_stream;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_WIRE_STREAM_COMPRESSION_H_
