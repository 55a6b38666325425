#include "hemlockpoint/wire/codec.h"

#include <utility>

#include "hemlockpoint/wire/fields.h"

namespace hemlockpoint {

namespace {

constexpr const char* kTypeField = "t";
// An encoded message is the length of its map (little endian), the map in
// CBOR, and the payload. The payload stays outside of the map so that long
// bodies are not parsed.
constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kBitsPerByte = 8;

void WriteLength(std::string& bytes, std::size_t length) {
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    bytes[i] = static_cast<char>(length >> (kBitsPerByte * i));
  }
}

std::optional<std::size_t> ReadLength(std::string_view bytes) {
  if (bytes.size() < kLengthBytes) {
    return std::nullopt;
  }
  std::size_t length = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) {
    length |= std::size_t{static_cast<unsigned char>(bytes[i])}
              << (kBitsPerByte * i);
  }
  return length;
}

template <typename Type>
Result<Message> DecodeAs(internal::FieldReader reader) {
  Type value;
  internal::VisitFields(value, reader);
  if (!reader.error().empty()) {
    return Result<Message>::Failure(std::string(Type::kType) + ": " +
                                    reader.error());
  }
  return Message(std::move(value));
}

template <std::size_t Index = 0>
Result<Message> DecodeByType(std::string_view type,
                             const internal::FieldReader& reader) {
  if constexpr (Index == std::variant_size_v<Message>) {
    return Result<Message>::Failure("message type not known");
  } else {
    using Type = std::variant_alternative_t<Index, Message>;
    if (type == Type::kType) {
      return DecodeAs<Type>(reader);
    }
    return DecodeByType<Index + 1>(type, reader);
  }
}

}  // namespace

std::string EncodeMessage(const Message& message) {
  const std::string* payload = nullptr;
  std::string bytes(kLengthBytes, '\0');
  std::visit(
      [&](const auto& value) {
        internal::FieldCounter counter;
        counter.m_has_separate_payload = true;
        internal::VisitFields(value, counter);
        internal::CborWriter cbor(bytes);
        cbor.BeginMap(counter.m_count + 1);
        cbor.WriteText(kTypeField);
        cbor.WriteText(std::decay_t<decltype(value)>::kType);
        internal::FieldWriter writer(cbor, &payload);
        internal::VisitFields(value, writer);
      },
      message);
  WriteLength(bytes, bytes.size() - kLengthBytes);
  if (payload != nullptr) {
    bytes += *payload;
  }
  return bytes;
}

Result<Message> DecodeMessage(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    return Result<Message>::Failure("message too large");
  }
  const auto length = ReadLength(bytes);
  if (!length || *length > bytes.size() - kLengthBytes) {
    return Result<Message>::Failure("message cut off");
  }
  const std::string_view map = bytes.substr(kLengthBytes, *length);
  const std::string_view payload = bytes.substr(kLengthBytes + *length);
  if (!internal::IsOneCborItem(map)) {
    return Result<Message>::Failure("not well-formed CBOR, or nested too deep");
  }
  internal::CborReader cbor(map);
  const auto head = cbor.Next();
  if (!head || head->m_type != internal::CborItem::Type::kMap) {
    return Result<Message>::Failure("message is not a map");
  }
  internal::FieldReader reader(cbor, head->m_unsigned, payload);
  std::string type;
  reader(kTypeField, type);
  if (!reader.error().empty()) {
    return Result<Message>::Failure("message type missing");
  }
  return DecodeByType(type, reader);
}

}  // namespace hemlockpoint
