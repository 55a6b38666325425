#include "hemlockpoint/runtime/signals.h"

#include <csignal>

namespace hemlockpoint {

namespace {

sigset_t OperatorSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGTERM);
  return signals;
}

}  // namespace

void BlockSignals() {
  const sigset_t signals = OperatorSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // Writes to a log pipe without a reader, or to a file that has reached its
  // size limit, then fail, and the line is lost.
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);
}

bool IsStopPending() {
  sigset_t pending;
  return sigpending(&pending) == 0 && (sigismember(&pending, SIGINT) == 1 ||
                                       sigismember(&pending, SIGTERM) == 1);
}

void UnblockSignals() {
  const sigset_t signals = OperatorSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace hemlockpoint
