#ifndef HEMLOCKPOINT_WIRE_FIELDS_CODEC_H_
#define HEMLOCKPOINT_WIRE_FIELDS_CODEC_H_

#include <string>
#include <string_view>
#include <utility>

#include "hemlockpoint/base/result.h"
#include "hemlockpoint/wire/codec.h"
#include "hemlockpoint/wire/fields.h"

namespace hemlockpoint {

/// @return A struct with a static Visit(), encoded as one CBOR map.
template <typename Value>
[[nodiscard]] std::string EncodeFields(const Value& value) {
  std::string bytes;
  internal::CborWriter writer(bytes);
  internal::WriteValue(writer, value);
  return bytes;
}

/// @return The struct, or the first error found in the bytes.
template <typename Value>
[[nodiscard]] Result<Value> DecodeFields(std::string_view bytes) {
  internal::CborReader cbor(bytes);
  const auto map = cbor.Next();
  if (!internal::IsOneCborItem(bytes) || !map ||
      map->m_type != internal::CborItem::Type::kMap) {
    return Result<Value>::Failure("not a CBOR map");
  }
  Value value;
  internal::FieldReader reader(cbor, map->m_unsigned);
  internal::VisitFields(value, reader);
  if (!reader.error().empty()) {
    return Result<Value>::Failure(reader.error());
  }
  return value;
}

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_WIRE_FIELDS_CODEC_H_
