#ifndef HEMLOCKPOINT_BASE_MILLIS_H_
#define HEMLOCKPOINT_BASE_MILLIS_H_

#include <chrono>

namespace hemlockpoint {

/// @brief A duration, or a point in time on the monotonic clock, in
/// milliseconds with a fractional part.
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

/// @return The time rounded down to whole milliseconds.
[[nodiscard]] Millis Floor(Millis time);

/// @brief Reads the monotonic clock, which keeps running while the host is
/// suspended. Only code that drives I/O and timers calls
/// this function; decision logic takes the time as an argument.
/// @return Milliseconds since an arbitrary point in time; never decreases.
[[nodiscard]] Millis SteadyNow();

/// @return The duration as a std::chrono duration, truncated to microseconds.
[[nodiscard]] std::chrono::microseconds ToChrono(Millis duration);

/// @return Milliseconds since the Unix epoch by the wall clock, for logs and
/// reports.
[[nodiscard]] double UnixMillis();

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_BASE_MILLIS_H_
