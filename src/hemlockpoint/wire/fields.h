#ifndef HEMLOCKPOINT_WIRE_FIELDS_H_
#define HEMLOCKPOINT_WIRE_FIELDS_H_

#include <algorithm>
#include <cmath>
#include <cstdint>
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
#include "hemlockpoint/wire/cbor_reader.h"
#include "hemlockpoint/wire/cbor_writer.h"
#include "hemlockpoint/wire/claim_messages.h"
#include "hemlockpoint/wire/consensus_messages.h"

/// Conversion between message structs and CBOR maps. Each struct lists its
/// fields once, in a static Visit(), which both the writer and the reader use.

namespace hemlockpoint::internal {

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

/// @brief Visitor that counts the fields of a struct that are written.
struct FieldCounter {
  template <typename Value>
  void operator()(const char*, const Value&) {
    ++m_count;
  }
  template <typename Value>
  void operator()(const char*, const std::optional<Value>& value) {
    m_count += value ? 1 : 0;
  }
  void operator()(const char*, const Bytes&) {
    m_count += m_has_separate_payload ? 0 : 1;
  }

  bool m_has_separate_payload = false;
  std::size_t m_count = 0;
};

template <typename Value>
void WriteValue(CborWriter& writer, const Value& value);

/// @brief Visitor that writes the fields of a struct as pairs of a CBOR map.
class FieldWriter {
 public:
  /// @param payload If set, receives the address of the Bytes field, which is
  /// then not written. A message has at most one such field at its top level.
  explicit FieldWriter(CborWriter& writer,
                       const std::string** payload = nullptr)
      : m_writer(writer), m_payload(payload) {}

  template <typename Value>
  void operator()(const char* name, const Value& value) {
    m_writer.WriteText(name);
    WriteValue(m_writer, value);
  }

  template <typename Value>
  void operator()(const char* name, const std::optional<Value>& value) {
    if (value) {
      (*this)(name, *value);
    }
  }

  void operator()(const char* name, const Bytes& value) {
    if (m_payload != nullptr) {
      *m_payload = &value.m_data;
    } else {
      m_writer.WriteText(name);
      m_writer.WriteBinary(value.m_data);
    }
  }

 private:
  CborWriter& m_writer;
  const std::string** m_payload;
};

template <typename Value>
void WriteValue(CborWriter& writer, const Value& value) {
  if constexpr (std::is_same_v<Value, bool>) {
    writer.WriteBool(value);
  } else if constexpr (std::is_floating_point_v<Value>) {
    writer.WriteNumber(value);
  } else if constexpr (std::is_unsigned_v<Value> || std::is_enum_v<Value>) {
    writer.WriteUnsigned(static_cast<std::uint64_t>(value));
  } else if constexpr (std::is_same_v<Value, std::string>) {
    writer.WriteText(value);
  } else if constexpr (IsStringId<Value>::value || IsNumberId<Value>::value ||
                       std::is_same_v<Value, Millis>) {
    WriteValue(writer, value.value());
  } else if constexpr (std::is_same_v<Value, Bytes>) {
    writer.WriteBinary(value.m_data);
  } else if constexpr (IsVector<Value>::value) {
    writer.BeginArray(value.size());
    for (const auto& item : value) {
      WriteValue(writer, item);
    }
  } else {
    FieldCounter counter;
    VisitFields(value, counter);
    writer.BeginMap(counter.m_count);
    FieldWriter fields(writer);
    VisitFields(value, fields);
  }
}

/// @brief Visitor that reads the fields of a struct from a CBOR map. It keeps
/// the first error and skips all later fields.
///
/// The pairs of the map may have any order. Reading is fastest in the order of
/// Visit(), in which FieldWriter writes them.
class FieldReader {
 public:
  /// @param pairs Positioned at the first key of the map. All bytes of the map
  /// must be well-formed.
  /// @param payload Value of the Bytes field, if it is not in the map.
  FieldReader(CborReader pairs,
              std::uint64_t pair_count,
              std::optional<std::string_view> payload = std::nullopt)
      : m_first(pairs),
        m_next(pairs),
        m_pair_count(pair_count),
        m_payload(payload) {}

  [[nodiscard]] const std::string& error() const { return m_error; }

  template <typename Value>
  void operator()(const char* name, Value& value) {
    if (!m_error.empty()) {
      return;
    }
    if (!Find(name)) {
      m_error = std::string("field missing: ") + name;
    } else if (!ReadFound(value)) {
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
    if (m_error.empty() && Find(name)) {
      Value read{};
      if (!ReadFound(read)) {
        m_error = std::string("field of wrong type or range: ") + name;
      }
      value = std::move(read);
    }
  }

 private:
  using Type = CborItem::Type;

  /// @brief Moves m_next to the value of a key, or leaves it unchanged if the
  /// map does not contain the key.
  bool Find(std::string_view name) {
    CborReader reader = m_next;
    std::uint64_t index = m_next_index;
    for (std::uint64_t i = 0; i < m_pair_count; ++i) {
      if (index == m_pair_count) {
        reader = m_first;
        index = 0;
      }
      const auto key = reader.Next();
      if (!key) {
        return false;
      }
      if (key->m_type == Type::kText && key->m_bytes == name) {
        m_has_wrapped = m_has_wrapped || index < m_next_index;
        m_next = reader;
        m_next_index = index;
        return true;
      }
      // A key that is a container is skipped as a whole.
      if (!SkipRestOf(reader, *key) || !reader.Skip()) {
        return false;
      }
      ++index;
    }
    return false;
  }

  /// @brief Reads the value at m_next and moves past it, unless it fails.
  template <typename Value>
  bool ReadFound(Value& value) {
    ++m_next_index;
    return Read(m_next, value);
  }

  /// @brief Sets a reader to the end of the map.
  bool SkipToEnd(CborReader& reader) const {
    reader = m_has_wrapped ? m_first : m_next;
    for (std::uint64_t i = m_has_wrapped ? 0 : m_next_index; i < m_pair_count;
         ++i) {
      if (!reader.Skip() || !reader.Skip()) {
        return false;
      }
    }
    return true;
  }

  /// @brief Skips the content of a container whose head has been read.
  static bool SkipRestOf(CborReader& reader, const CborItem& head) {
    std::uint64_t items = 0;
    if (head.m_type == Type::kArray) {
      items = head.m_unsigned;
    } else if (head.m_type == Type::kMap) {
      items = head.m_unsigned * 2;
    }
    for (; items > 0; --items) {
      if (!reader.Skip()) {
        return false;
      }
    }
    return true;
  }

  template <typename Value>
  static bool Read(CborReader& reader, Value& value) {
    const auto item = reader.Next();
    return item && ReadItem(reader, *item, value);
  }

  template <typename Value>
  static bool ReadItem(CborReader& reader, const CborItem& item, Value& value) {
    if constexpr (std::is_same_v<Value, bool>) {
      value = item.m_unsigned != 0;
      return item.m_type == Type::kBool;
    } else if constexpr (std::is_same_v<Value, std::uint64_t>) {
      value = item.m_unsigned;
      return item.m_type == Type::kUnsigned;
    } else if constexpr (std::is_same_v<Value, double>) {
      return ReadNumber(item, value);
    } else if constexpr (std::is_same_v<Value, std::string>) {
      value = item.m_bytes;
      return item.m_type == Type::kText;
    } else if constexpr (std::is_enum_v<Value>) {
      value = static_cast<Value>(item.m_unsigned);
      return item.m_type == Type::kUnsigned &&
             item.m_unsigned < kEnumCount<Value>;
    } else if constexpr (IsStringId<Value>::value) {
      value = Value(std::string(item.m_bytes));
      return item.m_type == Type::kText;
    } else if constexpr (IsNumberId<Value>::value) {
      value = Value(item.m_unsigned);
      return item.m_type == Type::kUnsigned;
    } else if constexpr (std::is_same_v<Value, Millis>) {
      double number = 0;
      const bool is_number = ReadNumber(item, number);
      value = Millis(number);
      return is_number;
    } else if constexpr (std::is_same_v<Value, Bytes>) {
      value.m_data = item.m_bytes;
      return item.m_type == Type::kBinary;
    } else if constexpr (IsVector<Value>::value) {
      return item.m_type == Type::kArray &&
             ReadItems(reader, item.m_unsigned, value);
    } else {
      if (item.m_type != Type::kMap) {
        return false;
      }
      FieldReader fields(reader, item.m_unsigned);
      VisitFields(value, fields);
      return fields.error().empty() && fields.SkipToEnd(reader);
    }
  }

  static bool ReadNumber(const CborItem& item, double& value) {
    if (item.m_type == Type::kUnsigned) {
      value = static_cast<double>(item.m_unsigned);
      return true;
    }
    value = item.m_number;
    return (item.m_type == Type::kFloat || item.m_type == Type::kNegative) &&
           std::isfinite(value);
  }

  template <typename Items>
  static bool ReadItems(CborReader& reader, std::uint64_t count, Items& items) {
    // Bounds the memory that a hostile peer can make this process reserve.
    constexpr std::uint64_t kMaxReserved = 256;
    items.clear();
    items.reserve(std::min(count, kMaxReserved));
    for (std::uint64_t i = 0; i < count; ++i) {
      typename Items::value_type item{};
      if (!Read(reader, item)) {
        return false;
      }
      items.push_back(std::move(item));
    }
    return true;
  }

  CborReader m_first;
  /// At the key of pair m_next_index, or at its value after Find().
  CborReader m_next;
  std::uint64_t m_next_index = 0;
  /// Pairs were read in another order than that of the map.
  bool m_has_wrapped = false;
  std::uint64_t m_pair_count;
  std::optional<std::string_view> m_payload;
  std::string m_error;
};

}  // namespace hemlockpoint::internal

#endif  // HEMLOCKPOINT_WIRE_FIELDS_H_
