#ifndef HEMLOCKPOINT_WIRE_STREAM_COMPRESSION_H_
#define HEMLOCKPOINT_WIRE_STREAM_COMPRESSION_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "hemlockpoint/base/result.h"

namespace hemlockpoint {

/// @brief Compresses the messages of one direction of a link. Each message
/// refers back to those before it, since the heads of calls repeat one
/// another. A StreamDecompressor at the other end takes them in the same order.
class StreamCompressor {
 public:
  /// @brief Messages above this size are mostly bodies that don't shrink, and
  /// would push the heads out of the window.
  static constexpr std::size_t kMaxCompressedBytes = std::size_t{8} * 1024;

  StreamCompressor();
  ~StreamCompressor();
  StreamCompressor(StreamCompressor&&) noexcept;
  StreamCompressor& operator=(StreamCompressor&&) noexcept;

  /// @return The message as it goes on the wire.
  [[nodiscard]] std::string Compress(std::string_view message);

 private:
  struct Stream;
  std::unique_ptr<Stream> m_stream;
};

/// @brief Marks a message as not compressed, for links that don't compress.
[[nodiscard]] std::string FrameUncompressed(std::string_view message);

/// @brief Restores what a StreamCompressor or FrameUncompressed() has packed.
class StreamDecompressor {
 public:
  StreamDecompressor();
  ~StreamDecompressor();
  StreamDecompressor(StreamDecompressor&&) noexcept;
  StreamDecompressor& operator=(StreamDecompressor&&) noexcept;

  /// @param max_bytes Size of the message at most; a small input can't make
  /// this process hold more.
  /// @return The message, or why the bytes are none; the link can't be used
  /// on after that.
  [[nodiscard]] Result<std::string> Decompress(std::string_view bytes,
                                               std::size_t max_bytes);

 private:
  struct Stream;
  std::unique_ptr<Stream> m_stream;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_WIRE_STREAM_COMPRESSION_H_
