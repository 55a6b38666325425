#ifndef HEMLOCKPOINT_LOG_LOG_H_
#define HEMLOCKPOINT_LOG_LOG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hemlockpoint {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

/// @return The level that the word names: debug, info, warning or error.
[[nodiscard]] std::optional<LogLevel> ParseLogLevel(std::string_view word);

enum class LogStream { kStandardError, kStandardOutput };

/// @brief Starts writing events of at least `level`.
///
/// Writing happens on a thread of the log library behind a bounded queue;
/// when the queue is full, events are dropped rather than delaying calls.
void StartLog(LogLevel level, LogStream stream = LogStream::kStandardError);

/// @brief Lines of the levels debug and info that a process writes in a second
/// at most. Those beyond are counted, and the count is written.
inline constexpr std::uint64_t kMaxLinesPerSecond = 300;

/// @brief Changes the level of a log that was started.
void SetLogLevel(LogLevel level);

/// @brief Writes out what is queued and ends the log's thread.
void StopLog();

/// @brief One event, written as one line of key=value pairs when destroyed.
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

/// @return The value as it stands in a log line: quoted and escaped when it
/// holds spaces, quotes or control characters.
[[nodiscard]] std::string QuoteLogValue(std::string_view value);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_LOG_LOG_H_
