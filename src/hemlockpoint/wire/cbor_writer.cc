#include "hemlockpoint/wire/cbor_writer.h"

#include <cbor/encoding.h>

#include <array>
#include <cmath>

namespace hemlockpoint::internal {

namespace {

// Largest head of a data item: its type and 8 bytes.
constexpr std::size_t kMaxHeadBytes = 9;

template <typename Encode, typename Value>
void Append(std::string& bytes, Encode encode, Value value) {
  std::array<unsigned char, kMaxHeadBytes> head{};
  const std::size_t size = encode(value, head.data(), head.size());
  bytes.append(reinterpret_cast<const char*>(head.data()), size);
}

}  // namespace

void CborWriter::WriteUnsigned(std::uint64_t value) {
  Append(m_bytes, cbor_encode_uint, value);
}

void CborWriter::WriteNumber(double value) {
  // Above this, the integer form is longer than the floating-point form.
  constexpr double kMaxInteger = 65535;
  const bool is_short_integer = value >= 0 && value <= kMaxInteger &&
                                value == std::floor(value) &&
                                !std::signbit(value);
  if (is_short_integer) {
    WriteUnsigned(static_cast<std::uint64_t>(value));
  } else if (const auto single = static_cast<float>(value);
             static_cast<double>(single) == value) {
    Append(m_bytes, cbor_encode_single, single);
  } else {
    Append(m_bytes, cbor_encode_double, value);
  }
}

void CborWriter::WriteBool(bool value) {
  Append(m_bytes, cbor_encode_bool, value);
}

void CborWriter::WriteText(std::string_view text) {
  Append(m_bytes, cbor_encode_string_start, text.size());
  m_bytes += text;
}

void CborWriter::WriteBinary(std::string_view bytes) {
  Append(m_bytes, cbor_encode_bytestring_start, bytes.size());
  m_bytes += bytes;
}

void CborWriter::BeginArray(std::size_t items) {
  Append(m_bytes, cbor_encode_array_start, items);
}

void CborWriter::BeginMap(std::size_t pairs) {
  Append(m_bytes, cbor_encode_map_start, pairs);
}

}  // namespace hemlockpoint::internal
