#ifndef HEMLOCKPOINT_BASE_IDS_H_
#define HEMLOCKPOINT_BASE_IDS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace hemlockpoint {

/// @brief A string identifier. `Tag` makes identifiers of different kinds
/// distinct types.
template <typename Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) : m_value(std::move(value)) {}

  [[nodiscard]] const std::string& value() const { return m_value; }
  [[nodiscard]] bool empty() const { return m_value.empty(); }

  friend bool operator==(const StringId& a, const StringId& b) {
    return a.m_value == b.m_value;
  }
  friend bool operator!=(const StringId& a, const StringId& b) {
    return !(a == b);
  }
  friend bool operator<(const StringId& a, const StringId& b) {
    return a.m_value < b.m_value;
  }

 private:
  std::string m_value;
};

/// @brief A numeric identifier. `Tag` makes identifiers of different kinds
/// distinct types.
template <typename Tag>
class NumberId {
 public:
  constexpr NumberId() = default;
  constexpr explicit NumberId(std::uint64_t value) : m_value(value) {}

  [[nodiscard]] constexpr std::uint64_t value() const { return m_value; }

  friend constexpr bool operator==(NumberId a, NumberId b) {
    return a.m_value == b.m_value;
  }
  friend constexpr bool operator!=(NumberId a, NumberId b) { return !(a == b); }
  friend constexpr bool operator<(NumberId a, NumberId b) {
    return a.m_value < b.m_value;
  }

 private:
  std::uint64_t m_value = 0;
};

/// @brief Identifies a process of the system; unique within its group.
using NodeId = StringId<struct NodeIdTag>;
/// @brief Name of a service; its instances are targets.
using ServiceName = StringId<struct ServiceNameTag>;
/// @brief Name of a caller in the policy document.
using CallerName = StringId<struct CallerNameTag>;
/// @brief Identifies a root request; all nested calls of its call graph carry
/// it.
using RequestId = StringId<struct RequestIdTag>;
/// @brief Name of a kind of work: service, method and first path segment.
using KindName = StringId<struct KindNameTag>;
/// @brief Identifies a call on one link, or in the queue of one node.
using CallId = NumberId<struct CallIdTag>;
/// @brief Identifies a link to another process.
using LinkId = NumberId<struct LinkIdTag>;
/// @brief Digest of the content of a request.
using Fingerprint = NumberId<struct FingerprintTag>;
/// @brief Revision number of the whole policy document.
using Revision = NumberId<struct RevisionTag>;

}  // namespace hemlockpoint

template <typename Tag>
struct std::hash<hemlockpoint::StringId<Tag>> {
  std::size_t operator()(const hemlockpoint::StringId<Tag>& id) const {
    return std::hash<std::string>()(id.value());
  }
};

template <typename Tag>
struct std::hash<hemlockpoint::NumberId<Tag>> {
  std::size_t operator()(hemlockpoint::NumberId<Tag> id) const {
    return std::hash<std::uint64_t>()(id.value());
  }
};

#endif  // HEMLOCKPOINT_BASE_IDS_H_
