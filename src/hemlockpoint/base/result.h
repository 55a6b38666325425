#ifndef HEMLOCKPOINT_BASE_RESULT_H_
#define HEMLOCKPOINT_BASE_RESULT_H_

#include <optional>
#include <string>
#include <utility>

namespace hemlockpoint {

/// @brief An optional value together with the last reason why it is absent.
template <typename Value>
class Result {
 public:
  // Implicit, so that functions return either a value or a Failure.
  Result(Value value) : m_value(std::move(value)) {}  // NOLINT

  /// @brief Builds an absent value.
  /// @param reason One sentence that names the cause.
  [[nodiscard]] static Result Failure(std::string reason) {
    Result result;
    result.m_reason = std::move(reason);
    return result;
  }

  [[nodiscard]] explicit operator bool() const { return m_value.has_value(); }
  [[nodiscard]] const Value& operator*() const { return *m_value; }
  [[nodiscard]] Value& operator*() { return *m_value; }
  [[nodiscard]] const Value* operator->() const { return &*m_value; }
  [[nodiscard]] Value* operator->() { return &*m_value; }

  /// @return Why the value is absent; empty when it is present.
  [[nodiscard]] const std::string& reason() const { return m_reason; }

 private:
  Result() = default;

  std::optional<Value> m_value;
  std::string m_reason;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_BASE_RESULT_H_
