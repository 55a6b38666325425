#ifndef HEMLOCKPOINT_WIRE_FIELDS_H_
#define HEMLOCKPOINT_WIRE_FIELDS_H_

#include <cmath>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/outcome/refusal.h"
#include "hemlockpoint/routes/route_document.h"
#include "hemlockpoint/wire/call_messages.h"
#include "hemlockpoint/wire/claim_messages.h"
#include "hemlockpoint/wire/consensus_messages.h"

/// Conversion between message structs and the JSON objects that are encoded as
/// CBOR maps. Each struct lists its fields once, in a static Visit(), which
/// both the writer and the reader use.

namespace hemlockpoint::internal {

template <typename Value>
nlohmann::json ToJson(const Value& value);

/// @brief Visitor that writes the fields of a struct to a JSON object.
class FieldWriter {
 public:
  template <typename Value>
  void operator()(const char* name, const Value& value) {
    m_object[name] = ToJson(value);
  }

  template <typename Value>
  void operator()(const char* name, const std::optional<Value>& value) {
    if (value) {
      m_object[name] = ToJson(*value);
    }
  }

  void operator()(const char* name, const Bytes& value) {
    if (m_payload != nullptr) {
      *m_payload = &value.m_data;
    } else {
      m_object[name] = ToJson(value);
    }
  }

  nlohmann::json m_object = nlohmann::json::object();
  /// If set, receives the address of a Bytes field, which is then left out of
  /// the object. A message has at most one such field at its top level.
  const std::string** m_payload = nullptr;
};

template <typename Value>
struct IsStringId : std::false_type {};
template <typename Tag>
struct IsStringId<StringId<Tag>> : std::true_type {};
template <typename Value>
struct IsNumberId : std::false_type {};
template <typename Tag>
struct IsNumberId<NumberId<Tag>> : std::true_type {};
template <typename Value>
struct IsVector : std::false_type {};
template <typename Item>
struct IsVector<std::vector<Item>> : std::true_type {};

/// @brief Number of enumerators of an enum that messages carry. The reader
/// rejects larger values.
template <typename Enum>
inline constexpr std::uint64_t kEnumCount = 0;
template <>
inline constexpr std::uint64_t kEnumCount<Execution> = 2;
template <>
inline constexpr std::uint64_t kEnumCount<Decider> = 2;
template <>
inline constexpr std::uint64_t kEnumCount<Reason> = kReasonCount;
template <>
inline constexpr std::uint64_t kEnumCount<LogEntryKind> = 5;
template <>
inline constexpr std::uint64_t kEnumCount<ClaimStep> = 4;
template <>
inline constexpr std::uint64_t kEnumCount<ClaimVerdict> = 5;
template <>
inline constexpr std::uint64_t kEnumCount<ClaimPhase> = 3;

template <>
inline constexpr std::uint64_t kEnumCount<WorkKind> = kWorkKindCount;

template <typename Visitor, typename Self>
void VisitRefusal(Self& self, Visitor& visit) {
  visit("run", self.m_execution);
  visit("by", self.m_decider);
  visit("reason", self.m_reason);
  visit("rev", self.m_rule.m_revision);
  visit("section", self.m_rule.m_section);
  visit("rule", self.m_rule.m_rule);
  visit("signal", self.m_signal.m_name);
  visit("value", self.m_signal.m_value);
  visit("bound", self.m_signal.m_bound);
  visit("after", self.m_retry_after);
  visit("node", self.m_node);
}

template <typename Self, typename Visitor>
void VisitFields(Self& self, Visitor& visit) {
  using Type = std::remove_const_t<Self>;
  if constexpr (std::is_same_v<Type, Refusal>) {
    VisitRefusal(self, visit);
  } else {
    Type::Visit(self, visit);
  }
}

template <typename Value>
nlohmann::json ToJson(const Value& value) {
  if constexpr (std::is_arithmetic_v<Value> ||
                std::is_same_v<Value, std::string>) {
    return value;
  } else if constexpr (std::is_enum_v<Value>) {
    return static_cast<std::uint64_t>(value);
  } else if constexpr (IsStringId<Value>::value || IsNumberId<Value>::value ||
                       std::is_same_v<Value, Millis>) {
    return value.value();
  } else if constexpr (std::is_same_v<Value, Bytes>) {
    return nlohmann::json::binary({value.m_data.begin(), value.m_data.end()});
  } else if constexpr (IsVector<Value>::value) {
    nlohmann::json array = nlohmann::json::array();
    for (const auto& item : value) {
      array.push_back(ToJson(item));
    }
    return array;
  } else {
    FieldWriter writer;
    VisitFields(value, writer);
    return std::move(writer.m_object);
  }
}

/// @brief Visitor that reads the fields of a struct from a JSON object. It
/// keeps the first error and skips all later fields.
class FieldReader {
 public:
  /// @param payload Value of the Bytes field, if it is not in the object.
  explicit FieldReader(const nlohmann::json& object,
                       std::optional<std::string_view> payload = std::nullopt)
      : m_object(object), m_payload(payload) {}

  [[nodiscard]] const std::string& error() const { return m_error; }

  template <typename Value>
  void operator()(const char* name, Value& value) {
    if (!m_error.empty()) {
      return;
    }
    const auto found = m_object.find(name);
    if (found == m_object.end()) {
      m_error = std::string("field missing: ") + name;
    } else if (!Read(*found, value)) {
      m_error = std::string("field of wrong type or range: ") + name;
    }
  }

  void operator()(const char* name, Bytes& value) {
    if (m_payload) {
      value.m_data = *m_payload;
    } else {
      operator()<Bytes>(name, value);
    }
  }

  template <typename Value>
  void operator()(const char* name, std::optional<Value>& value) {
    value.reset();
    if (m_error.empty() && m_object.contains(name)) {
      Value read{};
      (*this)(name, read);
      value = std::move(read);
    }
  }

 private:
  template <typename Value>
  static bool Read(const nlohmann::json& json, Value& value) {
    if constexpr (std::is_same_v<Value, bool>) {
      return json.is_boolean() && (value = json.get<bool>(), true);
    } else if constexpr (std::is_same_v<Value, std::uint64_t>) {
      return json.is_number_unsigned() &&
             (value = json.get<std::uint64_t>(), true);
    } else if constexpr (std::is_same_v<Value, double>) {
      return json.is_number() &&
             (value = json.get<double>(), std::isfinite(value));
    } else if constexpr (std::is_same_v<Value, std::string>) {
      return json.is_string() && (value = json.get<std::string>(), true);
    } else if constexpr (std::is_enum_v<Value>) {
      std::uint64_t number = 0;
      return Read(json, number) && number < kEnumCount<Value> &&
             (value = static_cast<Value>(number), true);
    } else if constexpr (IsStringId<Value>::value) {
      return json.is_string() && (value = Value(json.get<std::string>()), true);
    } else if constexpr (IsNumberId<Value>::value) {
      return json.is_number_unsigned() &&
             (value = Value(json.get<std::uint64_t>()), true);
    } else if constexpr (std::is_same_v<Value, Millis>) {
      double number = 0;
      return Read(json, number) && (value = Millis(number), true);
    } else if constexpr (std::is_same_v<Value, Bytes>) {
      return json.is_binary() && (ReadBytes(json, value), true);
    } else if constexpr (IsVector<Value>::value) {
      return json.is_array() && ReadItems(json, value);
    } else {
      if (!json.is_object()) {
        return false;
      }
      FieldReader reader(json);
      VisitFields(value, reader);
      return reader.error().empty();
    }
  }

  static void ReadBytes(const nlohmann::json& json, Bytes& value) {
    const auto& binary = json.get_binary();
    value.m_data.assign(binary.begin(), binary.end());
  }

  template <typename Items>
  static bool ReadItems(const nlohmann::json& json, Items& items) {
    items.clear();
    items.reserve(json.size());
    for (const auto& element : json) {
      typename Items::value_type item{};
      if (!Read(element, item)) {
        return false;
      }
      items.push_back(std::move(item));
    }
    return true;
  }

  const nlohmann::json& m_object;
  std::optional<std::string_view> m_payload;
  std::string m_error;
};

}  // namespace hemlockpoint::internal

#endif  // HEMLOCKPOINT_WIRE_FIELDS_H_
