#include "hemlockpoint/base/millis.h"

#include <cmath>

namespace hemlockpoint {

namespace {

using FractionalMillis = std::chrono::duration<double, std::milli>;

}  // namespace

Millis Floor(Millis time) {
  return Millis(std::floor(time.value()));
}

Millis SteadyNow() {
  const auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
  return Millis(FractionalMillis(since_epoch).count());
}

std::chrono::microseconds ToChrono(Millis duration) {
  constexpr double kMicrosPerMilli = 1000.0;
  return std::chrono::microseconds(
      static_cast<std::int64_t>(duration.value() * kMicrosPerMilli));
}

double UnixMillis() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return FractionalMillis(since_epoch).count();
}

}  // namespace hemlockpoint
