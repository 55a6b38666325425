#include "hemlockpoint/wire/stream_compression.h"

#include <zlib.h>

#include <array>
#include <new>

namespace hemlockpoint {

namespace {

// First byte of a packed message.
constexpr char kUncompressed = 0;
constexpr char kDeflated = 1;

// Raw deflate (RFC 1951), whose blocks need no header and no checksum: the
// transport keeps bytes whole. 8 KiB of history hold some twenty heads, and
// a link's two streams 60 KiB of memory.
constexpr int kWindowBits = -13;
constexpr int kMemoryLevel = 5;
// Heads repeat so much that higher levels gain little for their time.
constexpr int kCompressionLevel = 4;
// Each message is flushed, which ends it in the same four bytes (RFC 7692,
// section 7.2.1); they aren't sent.
constexpr std::string_view kSyncFlushTail("\x00\x00\xff\xff", 4);
constexpr std::size_t kBufferBytes = 4096;

// The library doesn't write through its input pointer.
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
  // Flushing nothing new writes nothing, so an empty message has no deflated
  // form.
  if (message.empty() || message.size() > kMaxCompressedBytes) {
    return FrameUncompressed(message);
  }
  z_stream& stream = m_stream->m_state;
  stream.next_in = ZlibInput(message);
  stream.avail_in = static_cast<uInt>(message.size());
  std::string packed(1, kDeflated);
  std::array<char, kBufferBytes> step{};
  do {
    stream.next_out = reinterpret_cast<Bytef*>(step.data());
    stream.avail_out = static_cast<uInt>(step.size());
    deflate(&stream, Z_SYNC_FLUSH);
    packed.append(step.data(), step.size() - stream.avail_out);
  } while (stream.avail_out == 0);
  packed.resize(packed.size() - kSyncFlushTail.size());
  return packed;
}

std::string FrameUncompressed(std::string_view message) {
  std::string packed;
  packed.reserve(message.size() + 1);
  packed.push_back(kUncompressed);
  packed.append(message);
  return packed;
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
  const char kind = bytes.front();
  bytes.remove_prefix(1);
  if (kind == kUncompressed) {
    return bytes.size() > max_bytes
               ? MessageResult::Failure("message too large")
               : MessageResult(std::string(bytes));
  }
  if (kind != kDeflated) {
    return MessageResult::Failure("unknown packing");
  }
  // Most links carry plain messages only, which need no window.
  if (!m_stream) {
    m_stream = std::make_unique<Stream>();
  }
  z_stream& stream = m_stream->m_state;
  std::string message;
  std::array<char, kBufferBytes> step{};
  for (const std::string_view part : {bytes, kSyncFlushTail}) {
    stream.next_in = ZlibInput(part);
    stream.avail_in = static_cast<uInt>(part.size());
    do {
      stream.next_out = reinterpret_cast<Bytef*>(step.data());
      stream.avail_out = static_cast<uInt>(step.size());
      const int status = inflate(&stream, Z_SYNC_FLUSH);
      if (status != Z_OK && status != Z_BUF_ERROR) {
        return MessageResult::Failure("damaged compressed message");
      }
      message.append(step.data(), step.size() - stream.avail_out);
      if (message.size() > max_bytes) {
        return MessageResult::Failure("message too large");
      }
    } while (stream.avail_out == 0);
    if (stream.avail_in != 0) {
      return MessageResult::Failure("damaged compressed message");
    }
  }
  return message;
}

}  // namespace hemlockpoint
