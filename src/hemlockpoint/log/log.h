#ifndef HEMLOCKPOINT_LOG_LOG_H_
#define HEMLOCKPOINT_LOG_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockpoint {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// @brief Parses "debug", "info", "warning" or "error".
/// @return The level, or nothing for any other word.
[[nodiscard]] std::optional<LogLevel> ParseLogLevel(std::string_view word);

enum class LogStream { kStandardError, kStandardOutput };

/// @brief Starts writing events of at least `level`.
///
/// A thread of the log library writes events from a bounded queue. When the
/// queue is full, events are dropped, so that logging never delays a call.
void StartLog(LogLevel level, LogStream stream = LogStream::kStandardError);

/// @brief Maximum number of debug and info lines that a process writes per
/// second. Further lines are suppressed, and their number is logged.
inline constexpr std::uint64_t kMaxLinesPerSecond = 300;

/// @brief Bytes of a value that are logged; the rest of a longer one is
/// replaced by "...".
inline constexpr std::size_t kMaxValueBytes = 1024;

/// @brief Changes the minimum level of the running log.
void SetLogLevel(LogLevel level);

/// @brief Writes the queued events and stops the log thread. Gives up after
/// 300 ms if nobody reads them; the log thread then remains, and the process
/// must end by std::_Exit().
/// @return Whether all events were written.
bool StopLog();

/// @brief Stops the log and ends the process at once, without destructors.
[[noreturn]] void StopLogAndExit(int exit_code);

/// @brief One event. The destructor writes it as a line of key=value pairs.
class LogLine {
 public:
  /// @param event Short name of the event, such as "link_closed".
  LogLine(LogLevel level, std::string_view event);
  ~LogLine();
  LogLine(const LogLine&) = delete;
  LogLine& operator=(const LogLine&) = delete;

  LogLine& With(std::string_view key, std::string_view value);
  LogLine& With(std::string_view key, const char* value) {
    return With(key, std::string_view(value));
  }
  LogLine& With(std::string_view key, std::uint64_t value);
  LogLine& With(std::string_view key, int value);
  LogLine& With(std::string_view key, double value);

 private:
  LogLevel m_level;
  bool m_is_enabled;
  std::string m_text;
};

/// @return The value as it is written in a log line: quoted and escaped if it
/// is empty or contains spaces, quotes, '=', backslashes, control characters or
/// bytes outside ASCII.
[[nodiscard]] std::string QuoteLogValue(std::string_view value);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_LOG_LOG_H_
