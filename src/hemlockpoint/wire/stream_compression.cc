#include "hemlockpoint/wire/stream_compression.h"

#include <zlib.h>

#include <array>
#include <new>

namespace hemlockpoint {

namespace {

// First byte of an encoded message.
constexpr char kUncompressed = 0;
constexpr char kDeflated = 1;

// Raw deflate (RFC 1951) without header and checksum, because the transport
// protects the bytes. A window of 8 KiB holds about twenty heads; the two
// streams of a link take 60 KiB of memory.
constexpr int kWindowBits = -13;
constexpr int kMemoryLevel = 5;
// Heads are so repetitive that higher levels save few bytes for their CPU
// time.
constexpr int kCompressionLevel = 4;
// A sync flush ends each message in these four bytes (RFC 7692, section
// 7.2.1). They are removed before sending and added before decompression.
constexpr std::string_view kSyncFlushTail("\x00\x00\xff\xff", 4);
constexpr std::size_t kBufferBytes = 4096;

// zlib takes a pointer to non-const input but does not write through it.
Bytef* ZlibInput(std::string_view bytes) {
  return reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
}

}  // namespace

struct StreamCompressor::Stream {
  Stream() {
    if (deflateInit2(&m_state, kCompressionLevel, Z_DEFLATED, kWindowBits,
                     kMemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK) {
      throw std::bad_alloc();
    }
  }
  ~Stream() { deflateEnd(&m_state); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  z_stream m_state{};
};

StreamCompressor::StreamCompressor() : m_stream(std::make_unique<Stream>()) {}
StreamCompressor::StreamCompressor(StreamCompressor&&) noexcept = default;
StreamCompressor& StreamCompressor::operator=(StreamCompressor&&) noexcept =
    default;
StreamCompressor::~StreamCompressor() = default;

std::string StreamCompressor::Compress(std::string_view message) {
  // A flush without new input writes nothing, so an empty message has no
  // compressed form.
  if (message.empty() || message.size() > kMaxCompressedBytes) {
    return FrameUncompressed(message);
  }
  z_stream& stream = m_stream->m_state;
  stream.next_in = ZlibInput(message);
  stream.avail_in = static_cast<uInt>(message.size());
  std::string encoded(1, kDeflated);
  std::array<char, kBufferBytes> buffer{};
  do {
    stream.next_out = reinterpret_cast<Bytef*>(buffer.data());
    stream.avail_out = static_cast<uInt>(buffer.size());
    deflate(&stream, Z_SYNC_FLUSH);
    encoded.append(buffer.data(), buffer.size() - stream.avail_out);
  } while (stream.avail_out == 0);
  encoded.resize(encoded.size() - kSyncFlushTail.size());
  return encoded;
}

std::string FrameUncompressed(std::string_view message) {
  std::string encoded;
  encoded.reserve(message.size() + 1);
  encoded.push_back(kUncompressed);
  encoded.append(message);
  return encoded;
}

struct StreamDecompressor::Stream {
  Stream() {
    if (inflateInit2(&m_state, kWindowBits) != Z_OK) {
      throw std::bad_alloc();
    }
  }
  ~Stream() { inflateEnd(&m_state); }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  z_stream m_state{};
};

StreamDecompressor::StreamDecompressor() = default;
StreamDecompressor::StreamDecompressor(StreamDecompressor&&) noexcept = default;
StreamDecompressor& StreamDecompressor::operator=(
    StreamDecompressor&&) noexcept = default;
StreamDecompressor::~StreamDecompressor() = default;

Result<std::string> StreamDecompressor::Decompress(std::string_view bytes,
                                                   std::size_t max_bytes) {
  using MessageResult = Result<std::string>;
  if (bytes.empty()) {
    return MessageResult::Failure("empty message");
  }
  const char encoding = bytes.front();
  bytes.remove_prefix(1);
  if (encoding == kUncompressed) {
    return bytes.size() > max_bytes
               ? MessageResult::Failure("message too large")
               : MessageResult(std::string(bytes));
  }
  if (encoding != kDeflated) {
    return MessageResult::Failure("unknown message encoding");
  }
  // Allocated on first use: most links carry uncompressed messages only.
  if (!m_stream) {
    m_stream = std::make_unique<Stream>();
  }
  z_stream& stream = m_stream->m_state;
  std::string message;
  std::array<char, kBufferBytes> buffer{};
  for (const std::string_view part : {bytes, kSyncFlushTail}) {
    stream.next_in = ZlibInput(part);
    stream.avail_in = static_cast<uInt>(part.size());
    do {
      stream.next_out = reinterpret_cast<Bytef*>(buffer.data());
      stream.avail_out = static_cast<uInt>(buffer.size());
      const int status = inflate(&stream, Z_SYNC_FLUSH);
      if (status != Z_OK && status != Z_BUF_ERROR) {
        return MessageResult::Failure("corrupt compressed message");
      }
      message.append(buffer.data(), buffer.size() - stream.avail_out);
      if (message.size() > max_bytes) {
        return MessageResult::Failure("message too large");
      }
    } while (stream.avail_out == 0);
    if (stream.avail_in != 0) {
      return MessageResult::Failure("corrupt compressed message");
    }
  }
  return message;
}

}  // namespace hemlockpoint
