#include "hemlockpoint/wire/cbor_reader.h"

#include <cbor/callbacks.h>
#include <cbor/streaming.h>

#include <array>

namespace hemlockpoint::internal {

namespace {

using Type = CborItem::Type;

CborItem& ItemOf(void* context) {
  return *static_cast<CborItem*>(context);
}

template <typename Value>
void SetUnsigned(void* context, Value value) {
  ItemOf(context).m_type = Type::kUnsigned;
  ItemOf(context).m_unsigned = value;
}

// A negative integer is encoded as the distance of its value from -1.
template <typename Value>
void SetNegative(void* context, Value distance) {
  ItemOf(context).m_type = Type::kNegative;
  ItemOf(context).m_number = -1.0 - static_cast<double>(distance);
}

template <typename Value>
void SetFloat(void* context, Value value) {
  ItemOf(context).m_type = Type::kFloat;
  ItemOf(context).m_number = value;
}

template <Type kType>
void SetBytes(void* context, cbor_data data, std::size_t size) {
  ItemOf(context).m_type = kType;
  ItemOf(context).m_bytes = {reinterpret_cast<const char*>(data), size};
}

template <Type kType>
void SetContainer(void* context, std::size_t count) {
  ItemOf(context).m_type = kType;
  ItemOf(context).m_unsigned = count;
}

template <Type kType>
void SetType(void* context) {
  ItemOf(context).m_type = kType;
}

void SetBool(void* context, bool value) {
  ItemOf(context).m_type = Type::kBool;
  ItemOf(context).m_unsigned = value ? 1 : 0;
}

cbor_callbacks MakeCallbacks() {
  cbor_callbacks callbacks{};
  callbacks.uint8 = SetUnsigned<std::uint8_t>;
  callbacks.uint16 = SetUnsigned<std::uint16_t>;
  callbacks.uint32 = SetUnsigned<std::uint32_t>;
  callbacks.uint64 = SetUnsigned<std::uint64_t>;
  callbacks.negint8 = SetNegative<std::uint8_t>;
  callbacks.negint16 = SetNegative<std::uint16_t>;
  callbacks.negint32 = SetNegative<std::uint32_t>;
  callbacks.negint64 = SetNegative<std::uint64_t>;
  callbacks.byte_string = SetBytes<Type::kBinary>;
  callbacks.byte_string_start = SetType<Type::kUnsupported>;
  callbacks.string = SetBytes<Type::kText>;
  callbacks.string_start = SetType<Type::kUnsupported>;
  callbacks.array_start = SetContainer<Type::kArray>;
  callbacks.indef_array_start = SetType<Type::kUnsupported>;
  callbacks.map_start = SetContainer<Type::kMap>;
  callbacks.indef_map_start = SetType<Type::kUnsupported>;
  callbacks.tag = [](void* context, std::uint64_t) {
    ItemOf(context).m_type = Type::kUnsupported;
  };
  callbacks.float2 = SetFloat<float>;
  callbacks.float4 = SetFloat<float>;
  callbacks.float8 = SetFloat<double>;
  callbacks.undefined = SetType<Type::kUnsupported>;
  callbacks.null = SetType<Type::kNull>;
  callbacks.boolean = SetBool;
  callbacks.indef_break = SetType<Type::kUnsupported>;
  return callbacks;
}

}  // namespace

std::optional<CborItem> CborReader::Next() {
  static const cbor_callbacks callbacks = MakeCallbacks();
  CborItem item;
  const cbor_decoder_result result =
      cbor_stream_decode(reinterpret_cast<cbor_data>(m_rest.data()),
                         m_rest.size(), &callbacks, &item);
  if (result.status != CBOR_DECODER_FINISHED) {
    return std::nullopt;
  }
  m_rest.remove_prefix(result.read);
  return item;
}

bool CborReader::Skip() {
  // Items that are still to be read in each open container.
  std::array<std::uint64_t, kMaxCborDepth> pending{};
  std::size_t depth = 0;
  do {
    const auto item = Next();
    if (!item || item->m_type == Type::kUnsupported) {
      return false;
    }
    if (depth > 0) {
      --pending[depth - 1];
    }
    if (item->m_type == Type::kArray || item->m_type == Type::kMap) {
      // Each item takes a byte at least. The check also keeps the number of
      // items of a map from overflowing.
      if (depth == kMaxCborDepth || item->m_unsigned > m_rest.size()) {
        return false;
      }
      pending[depth++] =
          item->m_unsigned * (item->m_type == Type::kMap ? 2 : 1);
    }
    while (depth > 0 && pending[depth - 1] == 0) {
      --depth;
    }
  } while (depth > 0);
  return true;
}

bool IsOneCborItem(std::string_view bytes) {
  CborReader reader(bytes);
  return reader.Skip() && reader.is_at_end();
}

}  // namespace hemlockpoint::internal
