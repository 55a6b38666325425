#ifndef HEMLOCKPOINT_RUNTIME_START_RETRY_H_
#define HEMLOCKPOINT_RUNTIME_START_RETRY_H_

#include <functional>
#include <optional>
#include <string>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

/// @brief Time for which a starting process waits for ports and folders that
/// are in use. Covers a former process that is still ending, and a connection
/// with the local port of a listener: the system keeps its port for 60 s after
/// its end (TIME_WAIT).
inline constexpr Millis kStartPatience{65'000};

/// @brief Calls a function until it succeeds. Blocks the thread in between, so
/// it must not be called while a FiberLoop runs.
/// @param attempt Returns the error, or nullopt on success.
/// @param until Time, as of SteadyNow(), of the last attempt.
/// @return The last error, or nullopt on success. Also returns the error once a
/// signal to stop is waiting; see BlockSignals().
[[nodiscard]] std::optional<std::string> RetryAtStart(
    Millis until,
    const std::function<std::optional<std::string>()>& attempt);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RUNTIME_START_RETRY_H_
