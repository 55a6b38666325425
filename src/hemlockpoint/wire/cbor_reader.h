#ifndef HEMLOCKPOINT_WIRE_CBOR_READER_H_
#define HEMLOCKPOINT_WIRE_CBOR_READER_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace hemlockpoint::internal {

/// @brief Maximum nesting depth of maps and arrays.
inline constexpr std::size_t kMaxCborDepth = 16;

/// @brief One CBOR data item (RFC 8949); of a container only its head.
struct CborItem {
  enum class Type : unsigned char {
    kUnsigned,
    kNegative,
    kFloat,
    kBool,
    kNull,
    kText,
    kBinary,
    kArray,
    kMap,
    /// Tags, undefined values, and items of indefinite length.
    kUnsupported,
  };

  Type m_type = Type::kUnsupported;
  /// Value of kUnsigned; 0 or 1 of kBool; items of kArray; pairs of kMap.
  std::uint64_t m_unsigned = 0;
  /// Value of kFloat and kNegative.
  double m_number = 0;
  /// Content of kText and kBinary; part of the bytes that were read.
  std::string_view m_bytes;
};

/// @brief Reads the data items of some bytes in order.
class CborReader {
 public:
  /// @param bytes Must outlive the reader and the items.
  explicit CborReader(std::string_view bytes) : m_rest(bytes) {}

  /// @return The next item, or nothing at the end or if the bytes are no item.
  [[nodiscard]] std::optional<CborItem> Next();

  /// @brief Moves past the next item and everything that it contains.
  /// @return False if the bytes are not well-formed, nested deeper than
  /// kMaxCborDepth, or contain an item of type kUnsupported.
  [[nodiscard]] bool Skip();

  [[nodiscard]] bool is_at_end() const { return m_rest.empty(); }

 private:
  std::string_view m_rest;
};

/// @return Whether the bytes are exactly one data item that
/// CborReader::Skip() accepts.
[[nodiscard]] bool IsOneCborItem(std::string_view bytes);

}  // namespace hemlockpoint::internal

#endif  // HEMLOCKPOINT_WIRE_CBOR_READER_H_
