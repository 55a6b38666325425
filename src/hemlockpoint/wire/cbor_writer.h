#ifndef HEMLOCKPOINT_WIRE_CBOR_WRITER_H_
#define HEMLOCKPOINT_WIRE_CBOR_WRITER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace hemlockpoint::internal {

/// @brief Appends CBOR data items (RFC 8949) to a string. All containers have a
/// definite length.
class CborWriter {
 public:
  /// @param bytes Receives the items; must outlive the writer.
  explicit CborWriter(std::string& bytes) : m_bytes(bytes) {}

  void WriteUnsigned(std::uint64_t value);
  /// @brief Writes a number in the shortest form that keeps its value.
  void WriteNumber(double value);
  void WriteBool(bool value);
  void WriteText(std::string_view text);
  void WriteBinary(std::string_view bytes);
  /// @param items Number of items that follow.
  void BeginArray(std::size_t items);
  /// @param pairs Number of keys, each with its value, that follow.
  void BeginMap(std::size_t pairs);

 private:
  std::string& m_bytes;
};

}  // namespace hemlockpoint::internal

#endif  // HEMLOCKPOINT_WIRE_CBOR_WRITER_H_
