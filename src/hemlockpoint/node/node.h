#ifndef HEMLOCKPOINT_NODE_NODE_H_
#define HEMLOCKPOINT_NODE_NODE_H_

#include <memory>
#include <optional>
#include <string>

#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/runtime/fiber_loop.h"

namespace hemlockpoint {

/// @brief One process of the system, in the roles that its settings name.
class Node {
 public:
  Node(const Settings& settings, FiberLoop& loop);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  /// @brief Opens every listener and starts the controllers.
  /// @return Why the process cannot run, or nothing.
  [[nodiscard]] std::optional<std::string> Start();

  /// @brief Refuses new work, finishes what is in flight, then stops the loop;
  /// runs on a fiber.
  void DrainAndStop();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_NODE_NODE_H_
