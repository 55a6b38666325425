#include "hemlockpoint/wire/codec.h"

#include <utility>

#include "hemlockpoint/wire/fields.h"

namespace hemlockpoint {

namespace {

using nlohmann::json;

constexpr const char* kTypeField = "t";

// Stops the parser before its recursion over nested containers can exhaust a
// fiber's stack.
class DepthCheck : public nlohmann::json_sax<json> {
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
Result<Message> DecodeAs(const json& object) {
  Type value;
  internal::FieldReader reader(object);
  internal::VisitFields(value, reader);
  if (!reader.error().empty()) {
    return Result<Message>::Failure(std::string(Type::kType) + ": " +
                                    reader.error());
  }
  return Message(std::move(value));
}

template <std::size_t Index = 0>
Result<Message> DecodeByType(const std::string& type, const json& object) {
  if constexpr (Index == std::variant_size_v<Message>) {
    return Result<Message>::Failure("message type not known");
  } else {
    using Type = std::variant_alternative_t<Index, Message>;
    if (type == Type::kType) {
      return DecodeAs<Type>(object);
    }
    return DecodeByType<Index + 1>(type, object);
  }
}

}  // namespace

std::string EncodeMessage(const Message& message) {
  json object = std::visit(
      [](const auto& value) {
        internal::FieldWriter writer;
        internal::VisitFields(value, writer);
        writer.m_object[kTypeField] = std::decay_t<decltype(value)>::kType;
        return std::move(writer.m_object);
      },
      message);
  std::string bytes;
  json::to_cbor(object, bytes);
  return bytes;
}

Result<Message> DecodeMessage(std::string_view bytes) {
  if (bytes.size() > kMaxMessageBytes) {
    return Result<Message>::Failure("message too large");
  }
  DepthCheck depth;
  if (!json::sax_parse(bytes.begin(), bytes.end(), &depth,
                       json::input_format_t::cbor)) {
    return Result<Message>::Failure("not well-formed CBOR, or nested too deep");
  }
  const json object = json::from_cbor(bytes.begin(), bytes.end(), true, false);
  if (!object.is_object()) {
    return Result<Message>::Failure("message is not a map");
  }
  const auto type = object.find(kTypeField);
  if (type == object.end() || !type->is_string()) {
    return Result<Message>::Failure("message type missing");
  }
  return DecodeByType(type->get<std::string>(), object);
}

}  // namespace hemlockpoint
