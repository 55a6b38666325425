#ifndef HEMLOCKPOINT_RELAY_RELAY_NODE_H_
#define HEMLOCKPOINT_RELAY_RELAY_NODE_H_

#include <memory>
#include <optional>
#include <string>

#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/relay/protocol_adapter.h"
#include "hemlockpoint/runtime/fiber_loop.h"

namespace hemlockpoint {

/// @brief A process in route mode: a node beside a target, a control host, or
/// both. Creates and connects the components and contains no logic of its own.
class RelayNode {
 public:
  RelayNode(const Settings& settings,
            const ProtocolAdapter& adapter,
            FiberLoop& loop);
  ~RelayNode();
  RelayNode(const RelayNode&) = delete;
  RelayNode& operator=(const RelayNode&) = delete;

  /// @brief Opens the listeners and starts the background fibers.
  /// @return An error message, or nothing on success.
  [[nodiscard]] std::optional<std::string> Start();

  /// @brief Applies the settings that can change at run time: the seeds, the
  /// retry limits and the log level.
  void Reload(const Settings& settings);

  /// @brief Announces that the node is leaving, waits for calls in flight up to
  /// the drain timeout, and stops the loop. Must run on a fiber.
  void DrainAndStop();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_RELAY_NODE_H_
