#include "hemlockpoint/runtime/crash_lines.h"

#include <execinfo.h>
#include <link.h>
#include <poll.h>
#include <unistd.h>

#include <array>
#include <climits>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <string_view>

namespace hemlockpoint {

namespace {

// The sanitizers report these signals themselves.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr bool kHasSanitizer = true;
#else
constexpr bool kHasSanitizer = false;
#endif

constexpr std::array<int, 5> kCrashSignals = {SIGABRT, SIGBUS, SIGFPE, SIGILL,
                                              SIGSEGV};
constexpr std::size_t kMaxNodeBytes = 64;
constexpr std::size_t kMaxReasonBytes = 256;
constexpr std::size_t kMaxLineBytes = 1024;
constexpr std::size_t kMaxFrames = 24;
// Enough for the formatting and for unwinding.
constexpr std::size_t kSignalStackBytes = std::size_t{64} * 1024;

// Handlers may not allocate, so all that they need is kept here.
struct CrashState {
  std::array<char, kMaxNodeBytes> m_node{};
  int m_file = STDERR_FILENO;
  std::uintptr_t m_program_base = 0;
  std::array<char, kSignalStackBytes> m_signal_stack{};
};

CrashState g_crash;

// A line that is formatted without allocating memory.
class CrashLine {
 public:
  explicit CrashLine(const char* event) {
    timespec now{};
    ::clock_gettime(CLOCK_REALTIME, &now);
    constexpr std::int64_t kMillisPerSecond = 1000;
    constexpr std::int64_t kNanosPerMilli = 1'000'000;
    Add("ts=");
    AddNumber(static_cast<std::uint64_t>(now.tv_sec * kMillisPerSecond +
                                         now.tv_nsec / kNanosPerMilli),
              10);
    Add(".000 level=error event=");
    Add(event);
    Add(" node=");
    Add(g_crash.m_node.data());
  }

  void Add(std::string_view text) {
    for (const char c : text) {
      if (m_size < m_text.size() - 1) {
        m_text[m_size++] = c;
      }
    }
  }

  // Replaces characters that would need an escape.
  void AddQuoted(std::string_view text) {
    Add("\"");
    for (const char c : text.substr(0, kMaxReasonBytes)) {
      const bool is_plain = c >= ' ' && c < 0x7f && c != '"' && c != '\\';
      Add(std::string_view(is_plain ? &c : "?", 1));
    }
    Add("\"");
  }

  void AddNumber(std::uint64_t value, unsigned base) {
    std::array<char, 24> digits{};
    std::size_t at = digits.size();
    do {
      digits[--at] = "0123456789abcdef"[value % base];
      value /= base;
    } while (value != 0);
    Add(std::string_view(&digits[at], digits.size() - at));
  }

  // The line is lost if it could wait for a reader. A pipe that accepts data
  // takes PIPE_BUF bytes at once.
  void Write() {
    static_assert(kMaxLineBytes <= PIPE_BUF);
    m_text[m_size++] = '\n';
    pollfd file{g_crash.m_file, POLLOUT, 0};
    if (::poll(&file, 1, 0) == 1 && (file.revents & POLLOUT) != 0) {
      [[maybe_unused]] const ssize_t ignored =
          ::write(g_crash.m_file, m_text.data(), m_size);
    }
  }

 private:
  std::array<char, kMaxLineBytes> m_text{};
  std::size_t m_size = 0;
};

void WriteFrames() {
  std::array<void*, kMaxFrames> frames{};
  const int count = ::backtrace(frames.data(), static_cast<int>(frames.size()));
  CrashLine line("crash_frames");
  line.Add(" offsets=");
  for (int i = 0; i < count; ++i) {
    line.Add(i == 0 ? "0x" : ",0x");
    line.AddNumber(reinterpret_cast<std::uintptr_t>(
                       frames.at(static_cast<std::size_t>(i))) -
                       g_crash.m_program_base,
                   16);
  }
  line.Write();
}

// Installed with SA_RESETHAND, so the signal that is raised at the end, or by a
// fault in here, has its default action.
void HandleCrashSignal(int number, siginfo_t* info, void* /*context*/) {
  CrashLine line("crashed");
  line.Add(" signal=");
  line.AddNumber(static_cast<std::uint64_t>(number), 10);
  line.Add(" address=0x");
  line.AddNumber(reinterpret_cast<std::uintptr_t>(info->si_addr), 16);
  line.Write();
  WriteFrames();
  ::raise(number);
}

[[noreturn]] void HandleTerminate() {
  CrashLine line("crashed");
  line.Add(" exception=");
  if (const std::exception_ptr current = std::current_exception()) {
    try {
      std::rethrow_exception(current);
    } catch (const std::exception& exception) {
      line.AddQuoted(exception.what());
    } catch (...) {
      line.Add("unknown");
    }
  } else {
    line.Add("none");
  }
  line.Write();
  std::abort();
}

// The program is the first object that is reported.
int StoreProgramBase(dl_phdr_info* info, std::size_t /*size*/, void* /*data*/) {
  g_crash.m_program_base = info->dlpi_addr;
  return 1;
}

}  // namespace

void WriteLinesOnCrash(const std::string& node, int file) {
  std::snprintf(g_crash.m_node.data(), g_crash.m_node.size(), "%s",
                node.c_str());
  g_crash.m_file = file;
  ::dl_iterate_phdr(&StoreProgramBase, nullptr);
  std::set_terminate(&HandleTerminate);
  if (kHasSanitizer) {
    return;
  }
  // The first call of backtrace() allocates memory.
  std::array<void*, 1> frame{};
  ::backtrace(frame.data(), 1);
  stack_t stack{};
  stack.ss_sp = g_crash.m_signal_stack.data();
  stack.ss_size = g_crash.m_signal_stack.size();
  ::sigaltstack(&stack, nullptr);
  struct sigaction action {};
  action.sa_sigaction = &HandleCrashSignal;
  action.sa_flags = SA_SIGINFO | SA_ONSTACK | SA_RESETHAND;
  sigemptyset(&action.sa_mask);
  for (const int number : kCrashSignals) {
    ::sigaction(number, &action, nullptr);
  }
}

}  // namespace hemlockpoint
