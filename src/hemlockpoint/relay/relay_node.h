#ifndef HEMLOCKPOINT_RELAY_RELAY_NODE_H_
#define HEMLOCKPOINT_RELAY_RELAY_NODE_H_

#include <memory>
#include <optional>
#include <string>

#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/relay/protocol_adapter.h"
#include "hemlockpoint/runtime/fiber_loop.h"

namespace hemlockpoint {

/// @brief One process in route mode: a node beside a target, a control host,
/// or both. It only puts the parts together.
class RelayNode {
 public:
  RelayNode(const Settings& settings,
            const ProtocolAdapter& dialect,
            FiberLoop& loop);
  ~RelayNode();
  RelayNode(const RelayNode&) = delete;
  RelayNode& operator=(const RelayNode&) = delete;

  /// @return Why the process cannot run, or nothing.
  [[nodiscard]] std::optional<std::string> Start();

  /// @brief Takes over what may change while the process runs: the seeds,
  /// the bounds of repeats and the log's level.
  void Reload(const Settings& settings);

  /// @brief Leaves, finishes what is in flight and stops the loop; used on a
  /// fiber.
  void DrainAndStop();

 private:
  struct State;
  std::unique_ptr<State> m_state;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_RELAY_RELAY_NODE_H_
