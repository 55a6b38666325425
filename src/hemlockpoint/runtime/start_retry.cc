#include "hemlockpoint/runtime/start_retry.h"

#include <thread>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/runtime/signals.h"

namespace hemlockpoint {

namespace {

constexpr Millis kRetryPeriod(50);

}  // namespace

std::optional<std::string> RetryAtStart(
    Millis until,
    const std::function<std::optional<std::string>()>& attempt) {
  bool is_logged = false;
  while (true) {
    std::optional<std::string> error = attempt();
    if (!error || SteadyNow() >= until || IsStopPending()) {
      return error;
    }
    if (!is_logged) {
      is_logged = true;
      LogLine(LogLevel::kWarning, "start_waits").With("reason", *error);
    }
    std::this_thread::sleep_for(ToChrono(kRetryPeriod));
  }
}

}  // namespace hemlockpoint
