#ifndef HEMLOCKPOINT_BASE_RESULT_H_
#define HEMLOCKPOINT_BASE_RESULT_H_

#include <optional>
#include <string>
#include <utility>

namespace hemlockpoint {

/// @brief Either a value or the reason why there is none.
template <typename Value>
class Result {
 public:
  // Implicit, so that functions can return a plain value.
  Result(Value value) : m_value(std::move(value)) {}  // NOLINT

  /// @brief Makes a result without a value.
  /// @param reason The cause, in one sentence.
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

  /// @return Why there is no value; empty if there is one.
  [[nodiscard]] const std::string& reason() const { return m_reason; }

 private:
  Result() = default;

  std::optional<Value> m_value;
  std::string m_reason;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_BASE_RESULT_H_
