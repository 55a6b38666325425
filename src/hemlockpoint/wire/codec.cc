#include "hemlockpoint/wire/codec.h"

#include <utility>

#include "hemlockpoint/wire/fields.h"

namespace hemlockpoint {

namespace {

using nlohmann::json;

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

// Limits the nesting of containers. The parser recurses into them, so deep
// nesting would exhaust the stack of a fiber.
class NestingDepthCheck : public nlohmann::json_sax<json> {
 public:
  bool null() override { return true; }
  bool boolean(bool) override { return true; }
  bool number_integer(number_integer_t) override { return true; }
  bool number_unsigned(number_unsigned_t) override { return true; }
  bool number_float(number_float_t, const string_t&) override { return true; }
  bool string(string_t&) override { return true; }
  bool binary(binary_t&) override { return true; }
  bool start_object(std::size_t) override { return Enter(); }
  bool key(string_t&) override { return true; }
  bool end_object() override { return Leave(); }
  bool start_array(std::size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(std::size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Enter() { return ++m_depth <= kMaxMessageDepth; }
  bool Leave() {
    --m_depth;
    return true;
  }

  int m_depth = 0;
};

template <typename Type>
Result<Message> DecodeAs(const json& object, std::string_view payload) {
  Type value;
  internal::FieldReader reader(object, payload);
  internal::VisitFields(value, reader);
  if (!reader.error().empty()) {
    return Result<Message>::Failure(std::string(Type::kType) + ": " +
                                    reader.error());
  }
  return Message(std::move(value));
}

template <std::size_t Index = 0>
Result<Message> DecodeByType(const std::string& type,
                             const json& object,
                             std::string_view payload) {
  if constexpr (Index == std::variant_size_v<Message>) {
    return Result<Message>::Failure("message type not known");
  } else {
    using Type = std::variant_alternative_t<Index, Message>;
    if (type == Type::kType) {
      return DecodeAs<Type>(object, payload);
    }
    return DecodeByType<Index + 1>(type, object, payload);
  }
}

}  // namespace

std::string EncodeMessage(const Message& message) {
  const std::string* payload = nullptr;
  json object = std::visit(
      [&payload](const auto& value) {
        internal::FieldWriter writer;
        writer.m_payload = &payload;
        internal::VisitFields(value, writer);
        writer.m_object[kTypeField] = std::decay_t<decltype(value)>::kType;
        return std::move(writer.m_object);
      },
      message);
  std::string bytes(kLengthBytes, '\0');
  json::to_cbor(object, bytes);
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
  NestingDepthCheck depth;
  if (!json::sax_parse(map.begin(), map.end(), &depth,
                       json::input_format_t::cbor)) {
    return Result<Message>::Failure("not well-formed CBOR, or nested too deep");
  }
  const json object = json::from_cbor(map.begin(), map.end(), true, false);
  if (!object.is_object()) {
    return Result<Message>::Failure("message is not a map");
  }
  const auto type = object.find(kTypeField);
  if (type == object.end() || !type->is_string()) {
    return Result<Message>::Failure("message type missing");
  }
  return DecodeByType(type->get<std::string>(), object, payload);
}

}  // namespace hemlockpoint
