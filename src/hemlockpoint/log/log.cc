#include "hemlockpoint/log/log.h"

#include <array>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <future>
#include <iostream>
#include <memory>
#include <thread>
#include <utility>

#include "hemlockpoint/base/millis.h"

namespace hemlockpoint {

namespace {

namespace sinks = boost::log::sinks;

constexpr std::size_t kMaxQueuedEvents = 8192;
// Time in which the queued lines are written at the end of a process.
constexpr Millis kStopPatience(300);

using Sink = sinks::asynchronous_sink<
    sinks::text_ostream_backend,
    sinks::bounded_fifo_queue<kMaxQueuedEvents, sinks::drop_on_overflow>>;

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

LogLevel g_min_level = LogLevel::kError;
boost::shared_ptr<Sink> g_sink;

boost::log::sources::logger& Logger() {
  thread_local boost::log::sources::logger logger;
  return logger;
}

// Counts of debug and info lines within one second of the monotonic clock.
struct LineRateWindow {
  double m_current_second = 0;
  std::uint64_t m_written_lines = 0;
  std::uint64_t m_suppressed_lines = 0;
};

LineRateWindow g_line_rate;

// Returns whether a line may be written now, and counts it. Warnings and errors
// are rare and never suppressed. The first line of a new second reports how
// many lines the previous one suppressed.
bool TryReserveLine(LogLevel level) {
  constexpr double kMillisPerSecond = 1000;
  const double second = std::floor(SteadyNow().value() / kMillisPerSecond);
  if (second != g_line_rate.m_current_second) {
    const std::uint64_t suppressed = g_line_rate.m_suppressed_lines;
    g_line_rate = {second, 0, 0};
    if (suppressed > 0) {
      LogLine(LogLevel::kWarning, "lines_suppressed").With("count", suppressed);
    }
  }
  if (level >= LogLevel::kWarning) {
    return true;
  }
  if (g_line_rate.m_written_lines >= kMaxLinesPerSecond) {
    ++g_line_rate.m_suppressed_lines;
    return false;
  }
  ++g_line_rate.m_written_lines;
  return true;
}

std::string FormatNumber(double value) {
  std::array<char, 32> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%.3f", value);
  return buffer.data();
}

}  // namespace

std::optional<LogLevel> ParseLogLevel(std::string_view word) {
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == word) {
      return static_cast<LogLevel>(i);
    }
  }
  return std::nullopt;
}

void SetLogLevel(LogLevel level) {
  g_min_level = level;
}

void StartLog(LogLevel level, LogStream stream) {
  g_min_level = level;
  auto backend = boost::make_shared<sinks::text_ostream_backend>();
  backend->add_stream(boost::shared_ptr<std::ostream>(
      stream == LogStream::kStandardOutput ? &std::cout : &std::cerr,
      boost::null_deleter()));
  backend->auto_flush(true);
  g_sink = boost::make_shared<Sink>(backend);
  boost::log::core::get()->add_sink(g_sink);
}

bool StopLog() {
  if (!g_sink) {
    return true;
  }
  boost::log::core::get()->remove_sink(g_sink);
  // The sink can't be interrupted while it waits for the reader of a full pipe,
  // so another thread stops it.
  auto is_written = std::make_shared<std::promise<void>>();
  std::future<void> written = is_written->get_future();
  std::thread([sink = std::move(g_sink), is_written] {
    sink->stop();
    sink->flush();
    is_written->set_value();
  }).detach();
  g_sink.reset();
  return written.wait_for(ToChrono(kStopPatience)) == std::future_status::ready;
}

void StopLogAndExit(int exit_code) {
  StopLog();
  std::_Exit(exit_code);
}

LogLine::LogLine(LogLevel level, std::string_view event)
    : m_level(level),
      m_is_enabled(g_sink && level >= g_min_level && TryReserveLine(level)) {
  if (!m_is_enabled) {
    return;
  }
  m_text = "ts=" + FormatNumber(UnixMillis()) + " level=";
  m_text += kLevelNames[static_cast<std::size_t>(level)];
  m_text += " event=";
  m_text += event;
}

LogLine::~LogLine() {
  if (m_is_enabled) {
    BOOST_LOG(Logger()) << m_text;
  }
}

LogLine& LogLine::With(std::string_view key, std::string_view value) {
  if (m_is_enabled) {
    m_text += ' ';
    m_text += key;
    m_text += '=';
    m_text += QuoteLogValue(value.substr(0, kMaxValueBytes));
    m_text += value.size() > kMaxValueBytes ? "..." : "";
  }
  return *this;
}

LogLine& LogLine::With(std::string_view key, std::uint64_t value) {
  return m_is_enabled ? With(key, std::string_view(std::to_string(value)))
                      : *this;
}

LogLine& LogLine::With(std::string_view key, int value) {
  return m_is_enabled ? With(key, std::string_view(std::to_string(value)))
                      : *this;
}

LogLine& LogLine::With(std::string_view key, double value) {
  return m_is_enabled ? With(key, std::string_view(FormatNumber(value)))
                      : *this;
}

std::string QuoteLogValue(std::string_view value) {
  const auto is_plain_char = [](unsigned char c) {
    return c > ' ' && c < 0x7f && c != '"' && c != '=' && c != '\\';
  };
  bool is_plain = !value.empty();
  for (const char c : value) {
    is_plain = is_plain && is_plain_char(static_cast<unsigned char>(c));
  }
  if (is_plain) {
    return std::string(value);
  }
  std::string quoted = "\"";
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
      quoted += '\\';
      quoted += c;
    } else if (byte < ' ' || byte == 0x7f) {
      std::array<char, 8> escape{};
      std::snprintf(escape.data(), escape.size(), "\\x%02x", byte);
      quoted += escape.data();
    } else {
      quoted += c;
    }
  }
  quoted += '"';
  return quoted;
}

}  // namespace hemlockpoint
