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
  nlohmann::json::to_cbor(internal::ToJson(value), bytes);
  return bytes;
}

/// @return The struct, or the first error found in the bytes.
template <typename Value>
[[nodiscard]] Result<Value> DecodeFields(std::string_view bytes) {
  const auto object =
      nlohmann::json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (!object.is_object()) {
    return Result<Value>::Failure("not a CBOR map");
  }
  Value value;
  internal::FieldReader reader(object);
  internal::VisitFields(value, reader);
  if (!reader.error().empty()) {
    return Result<Value>::Failure(reader.error());
  }
  return value;
}

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_WIRE_FIELDS_CODEC_H_
