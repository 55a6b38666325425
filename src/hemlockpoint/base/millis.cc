#include "hemlockpoint/base/millis.h"

#include <cmath>
#include <ctime>

namespace hemlockpoint {

namespace {

using FractionalMillis = std::chrono::duration<double, std::milli>;

}  // namespace

Millis Floor(Millis time) {
  return Millis(std::floor(time.value()));
}

Millis SteadyNow() {
  // Unlike CLOCK_MONOTONIC, which std::chrono::steady_clock reads, this clock
  // also counts the time during which the host was suspended. Deadlines and
  // leases run out meanwhile.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Millis(FractionalMillis(std::chrono::seconds(now.tv_sec) +
                                 std::chrono::nanoseconds(now.tv_nsec))
                    .count());
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
