#ifndef HEMLOCKPOINT_RUNTIME_SIGNALS_H_
#define HEMLOCKPOINT_RUNTIME_SIGNALS_H_

namespace hemlockpoint {

/// @brief Makes the signals of operators (SIGHUP, SIGINT, SIGTERM) wait until
/// UnblockSignals(), in the calling thread and those that it starts, and makes
/// the process ignore SIGPIPE and SIGXFSZ. Call it before anything else: until
/// a handler is installed, each of these signals ends the process.
void BlockSignals();

/// @return Whether a signal to stop (SIGINT, SIGTERM) waits for
/// UnblockSignals().
[[nodiscard]] bool IsStopPending();

/// @brief Delivers the signals that wait, and further ones, to the calling
/// thread. Call it once the handlers are installed.
void UnblockSignals();

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RUNTIME_SIGNALS_H_
