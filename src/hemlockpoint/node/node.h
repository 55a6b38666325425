#ifndef HEMLOCKPOINT_NODE_NODE_H_
#define HEMLOCKPOINT_NODE_NODE_H_

#include <memory>
#include <optional>
#include <string>

#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/runtime/fiber_loop.h"

namespace hemlockpoint {

/// @brief One process of the system. Its settings select its roles: a node
/// beside a target, a control host, or both.
class Node {
 public:
  Node(const Settings& settings, FiberLoop& loop);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// @brief Opens every listener and starts the services.
  /// @return The error that keeps the process from running, or nothing.
  [[nodiscard]] std::optional<std::string> Start();

  /// @brief Refuses new calls, waits until the calls in flight have ended or
  /// the drain timeout has passed, and stops the loop. Suspends the calling
  /// fiber.
  void DrainAndStop();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_NODE_H_
