#ifndef HEMLOCKPOINT_TESTING_FAKE_TARGET_FAKE_TARGET_H_
#define HEMLOCKPOINT_TESTING_FAKE_TARGET_FAKE_TARGET_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/base/endpoint.h"
#include "hemlockpoint/base/millis.h"
#include "hemlockpoint/runtime/fiber_loop.h"

namespace hemlockpoint {

/// @brief A call that a fake target makes for each request it serves.
struct FakeChildCall {
  std::string m_service;
  std::string m_path;
};

/// @brief How a fake target behaves.
struct FakeTargetOptions {
  std::string m_service;
  Endpoint m_listen;
  /// Operator listener of the fake: counters and changes of behaviour.
  Endpoint m_control;
  Endpoint m_node_admin;
  Endpoint m_node_http;
  std::uint64_t m_slots = 8;
  std::uint64_t m_connections = 200;
  Millis m_service_time{10};
  /// Service times are exponential with the mean above.
  bool m_is_exponential = false;
  /// Time after the start in which work takes four times as long.
  Millis m_cold_for{0};
  std::vector<FakeChildCall> m_children;
  /// Repeats of a failed child call, as an impatient service makes them.
  unsigned m_child_retries = 0;
  std::uint64_t m_seed = 1;
};

/// @brief A stand-in for a service's process. Requests may state
/// "?ms=50&bytes=1000" for their own service time and answer size; "/echo"
/// answers with the request's body, and "/crash" ends the process.
class FakeTarget {
 public:
  FakeTarget(FakeTargetOptions options, FiberLoop& loop);
  ~FakeTarget();
  FakeTarget(const FakeTarget&) = delete;
  FakeTarget& operator=(const FakeTarget&) = delete;

  /// @return Why listening failed, or nothing.
  [[nodiscard]] std::optional<std::string> Start();

  /// @brief Closes the listeners.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TESTING_FAKE_TARGET_FAKE_TARGET_H_
