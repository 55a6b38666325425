#include "hemlockpoint/runtime/fiber_loop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/scheduler.hpp>
#include <chrono>
#include <utility>

#include "hemlockpoint/runtime/stack_pool.h"

namespace hemlockpoint {

namespace {

namespace fibers = boost::fibers;

// Functions use more of a stack if they aren't optimized, or are instrumented
// by a sanitizer.
#if defined(__OPTIMIZE__) && !defined(__SANITIZE_ADDRESS__) && \
    !defined(__SANITIZE_THREAD__)
constexpr std::size_t kStackBytes = std::size_t{128} * 1024;
#else
constexpr std::size_t kStackBytes = std::size_t{256} * 1024;
#endif

// Shares of the stacks.
struct StackShares {
  // Maximum share that one kind of work may use.
  double m_own = 1;
  // Maximum share that is in use when another fiber of the kind is started.
  double m_all = 1;
};

// Connections may be idle for long, so they leave room for requests; all leave
// room for calls to the local target, for control and for the fibers that
// accepted work needs, which may exceed the limit.
constexpr StackShares SharesOf(FiberWork work) {
  switch (work) {
    case FiberWork::kConnection:
      return {0.4, 0.8};
    case FiberWork::kRequest:
      return {1, 0.7};
    case FiberWork::kCall:
      return {1, 0.85};
    case FiberWork::kControl:
      break;
  }
  return {0.05, 1};
}

// Round-robin scheduler that runs the io_context while no fiber is ready.
// Only handlers and other fibers make a fiber ready, so the ready queue becomes
// empty between two waits and handlers are not starved.
class AsioRoundRobin : public fibers::algo::algorithm {
 public:
  explicit AsioRoundRobin(std::shared_ptr<boost::asio::io_context> io)
      : m_io(std::move(io)) {}

  void awakened(fibers::context* context) noexcept override {
    context->ready_link(m_ready);
  }

  fibers::context* pick_next() noexcept override {
    if (m_ready.empty()) {
      return nullptr;
    }
    fibers::context* next = &m_ready.front();
    m_ready.pop_front();
    return next;
  }

  [[nodiscard]] bool has_ready_fibers() const noexcept override {
    return !m_ready.empty();
  }

  // A handler that throws terminates the process, because the interface
  // requires noexcept.
  // NOLINTNEXTLINE(bugprone-exception-escape)
  void suspend_until(
      const std::chrono::steady_clock::time_point& until) noexcept override {
    if (until == std::chrono::steady_clock::time_point::max()) {
      m_io->run_one();
    } else {
      m_io->run_one_until(until);
    }
    m_io->poll();
  }

  void notify() noexcept override {
    boost::asio::post(*m_io, [] {});
  }

 private:
  // Shared, because the fiber scheduler of the thread outlives the FiberLoop.
  std::shared_ptr<boost::asio::io_context> m_io;
  fibers::scheduler::ready_queue_type m_ready;
};

}  // namespace

struct FiberLoop::State {
  std::shared_ptr<boost::asio::io_context> m_io =
      std::make_shared<boost::asio::io_context>(1);
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      m_work = boost::asio::make_work_guard(*m_io);
  StackPool m_stacks{kStackBytes};
  std::optional<std::size_t> m_max_stacks;
  fibers::mutex m_mutex;
  fibers::condition_variable m_changed;
  std::size_t m_fibers = 0;
  bool m_stopping = false;
};

FiberLoop::FiberLoop() : m_state(std::make_unique<State>()) {
  fibers::use_scheduling_algorithm<AsioRoundRobin>(m_state->m_io);
}

FiberLoop::~FiberLoop() = default;

boost::asio::io_context& FiberLoop::io() {
  return *m_state->m_io;
}

void FiberLoop::Spawn(std::function<void()> body) {
  State* state = m_state.get();
  ++state->m_fibers;
  fibers::fiber(fibers::launch::post, std::allocator_arg, state->m_stacks,
                [state, body = std::move(body)] {
                  body();
                  --state->m_fibers;
                  // Notifies only while stopping, because this would also wake
                  // every periodic fiber.
                  if (state->m_stopping) {
                    state->m_changed.notify_all();
                  }
                })
      .detach();
}

void FiberLoop::SetMaxStackBytes(std::size_t bytes) {
  m_state->m_max_stacks = bytes / m_state->m_stacks.bytes_per_stack();
}

bool FiberLoop::HasStackFor(FiberWork work, std::size_t running) const {
  if (!m_state->m_max_stacks) {
    return true;
  }
  const auto max_stacks = static_cast<double>(*m_state->m_max_stacks);
  const StackShares shares = SharesOf(work);
  return static_cast<double>(running) < max_stacks * shares.m_own &&
         static_cast<double>(m_state->m_stacks.used()) <
             max_stacks * shares.m_all;
}

void FiberLoop::SpawnPeriodic(Millis period, std::function<void()> tick) {
  State* state = m_state.get();
  Spawn([state, period, tick = std::move(tick)] {
    std::unique_lock<fibers::mutex> lock(state->m_mutex);
    while (!state->m_stopping) {
      lock.unlock();
      tick();
      lock.lock();
      state->m_changed.wait_for(lock, ToChrono(period),
                                [state] { return state->m_stopping; });
    }
  });
}

void FiberLoop::Run() {
  std::unique_lock<fibers::mutex> lock(m_state->m_mutex);
  m_state->m_changed.wait(
      lock, [this] { return m_state->m_stopping && m_state->m_fibers == 0; });
}

void FiberLoop::Stop() {
  m_state->m_stopping = true;
  m_state->m_changed.notify_all();
}

bool FiberLoop::stopping() const {
  return m_state->m_stopping;
}

std::size_t FiberLoop::fibers() const {
  return m_state->m_fibers;
}

std::optional<std::size_t> FiberLoop::max_fibers() const {
  return m_state->m_max_stacks;
}

void SleepFor(Millis duration) {
  boost::this_fiber::sleep_for(ToChrono(duration));
}

}  // namespace hemlockpoint
