#ifndef HEMLOCKPOINT_BASE_MILLIS_H_
#define HEMLOCKPOINT_BASE_MILLIS_H_

#include <chrono>

namespace hemlockpoint {

/// @brief A duration, or a point in time since the process's clock started,
/// in milliseconds with a fractional part.
class Millis {
 public:
  constexpr Millis() = default;
  constexpr explicit Millis(double value) : m_value(value) {}

  /// @return The value in milliseconds.
  [[nodiscard]] constexpr double value() const { return m_value; }

  constexpr Millis& operator+=(Millis other) {
    m_value += other.m_value;
    return *this;
  }
  friend constexpr Millis operator+(Millis a, Millis b) {
    return Millis(a.m_value + b.m_value);
  }
  friend constexpr Millis operator-(Millis a, Millis b) {
    return Millis(a.m_value - b.m_value);
  }
  friend constexpr Millis operator*(Millis a, double factor) {
    return Millis(a.m_value * factor);
  }
  friend constexpr double operator/(Millis a, Millis b) {
    return a.m_value / b.m_value;
  }
  friend constexpr bool operator<(Millis a, Millis b) {
    return a.m_value < b.m_value;
  }
  friend constexpr bool operator>(Millis a, Millis b) { return b < a; }
  friend constexpr bool operator<=(Millis a, Millis b) { return !(b < a); }
  friend constexpr bool operator>=(Millis a, Millis b) { return !(a < b); }
  friend constexpr bool operator==(Millis a, Millis b) {
    return a.m_value == b.m_value;
  }
  friend constexpr bool operator!=(Millis a, Millis b) { return !(a == b); }

 private:
  double m_value = 0;
};

/// @return The smaller of two times.
[[nodiscard]] constexpr Millis Min(Millis a, Millis b) {
  return b < a ? b : a;
}

/// @return The larger of two times.
[[nodiscard]] constexpr Millis Max(Millis a, Millis b) {
  return a < b ? b : a;
}

/// @return The whole milliseconds of a time, rounded down.
[[nodiscard]] Millis Floor(Millis time);

/// @brief Reads the monotonic clock. Only drivers call it; decisions take the
/// time as an argument.
/// @return Milliseconds since an arbitrary point, never decreasing.
[[nodiscard]] Millis SteadyNow();

/// @brief Converts to the standard library's duration, rounded down to
/// microseconds.
[[nodiscard]] std::chrono::microseconds ToChrono(Millis duration);

/// @return Wall-clock milliseconds since the Unix epoch, for logs and reports.
[[nodiscard]] double UnixMillis();

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_BASE_MILLIS_H_
