#ifndef HEMLOCKPOINT_BASE_IDS_H_
#define HEMLOCKPOINT_BASE_IDS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace hemlockpoint {

/// @brief A name that cannot be mixed up with a name of another kind.
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

/// @brief A number that cannot be mixed up with a number of another kind.
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

/// @brief Names a process of the system; unique in its group.
using NodeId = StringId<struct NodeIdTag>;
/// @brief Names a service that targets offer.
using ServiceName = StringId<struct ServiceNameTag>;
/// @brief Names a caller as the policy document knows it.
using CallerName = StringId<struct CallerNameTag>;
/// @brief Names a root request over its whole call graph.
using RequestId = StringId<struct RequestIdTag>;
/// @brief Names a kind of work: service, method and first path segment.
using KindName = StringId<struct KindNameTag>;
/// @brief Numbers a call on one link, or in one node's queue.
using CallId = NumberId<struct CallIdTag>;
/// @brief Numbers a link to another process.
using LinkId = NumberId<struct LinkIdTag>;
/// @brief Digest of a request's content.
using Fingerprint = NumberId<struct FingerprintTag>;
/// @brief Revision of the whole policy document.
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
