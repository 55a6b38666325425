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

/// @brief A call that a fake target makes while it handles a request.
struct FakeChildCall {
  std::string m_service;
  std::string m_path;
};

/// @brief Addresses and behaviour of a fake target.
struct FakeTargetOptions {
  std::string m_service;
  Endpoint m_listen;
  /// Listener for test control: any path responds with the counters as JSON;
  /// "?slowdown=X" and "?drain=0|1" change the behaviour. Port 0 disables it.
  Endpoint m_control;
  /// Admin listener of the node, which receives the announcements.
  Endpoint m_node_admin;
  /// HTTP listener of the node, which receives the child calls.
  Endpoint m_node_http;
  /// Requests handled at once; further requests wait.
  std::uint64_t m_slots = 8;
  /// Connection limit stated in the announcements.
  std::uint64_t m_connections = 200;
  Millis m_service_time{10};
  /// Draws service times from an exponential distribution whose mean is the
  /// service time; otherwise they are constant.
  bool m_is_exponential = false;
  /// Time after the start during which service times are four times as long.
  Millis m_cold_duration{0};
  std::vector<FakeChildCall> m_children;
  /// Immediate retries of each failed child call, as a service without a retry
  /// budget makes them.
  unsigned m_child_retries = 0;
  std::uint64_t m_seed = 1;
};

/// @brief An HTTP server that stands in for the process of a service. The query
/// "?ms=50&bytes=1000" sets the service time and the response size of a
/// request. "/echo" responds with the request's body. "/crash" exits the
/// process.
class FakeTarget {
 public:
  FakeTarget(FakeTargetOptions options, FiberLoop& loop);
  ~FakeTarget();
  FakeTarget(const FakeTarget&) = delete;
  FakeTarget& operator=(const FakeTarget&) = delete;

  /// @brief Starts listening and announces the target to its node periodically.
  /// @return Why listening failed, or nothing.
  [[nodiscard]] std::optional<std::string> Start();

  /// @brief Stops accepting connections and closes idle ones. Other connections
  /// close after their current response.
  void Stop();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_TESTING_FAKE_TARGET_FAKE_TARGET_H_
