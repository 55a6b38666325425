#ifndef HEMLOCKPOINT_CONTROL_CONTROL_SERVICE_H_
#define HEMLOCKPOINT_CONTROL_CONTROL_SERVICE_H_

#include <map>

#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/membership/directory.h"
#include "hemlockpoint/runtime/fiber_loop.h"
#include "hemlockpoint/transport/link_layer.h"

namespace hemlockpoint {

/// @brief The control role of one process: keeps the directory of members and
/// pushes it to the nodes.
class ControlService {
 public:
  ControlService(const Settings& settings, FiberLoop& loop, LinkLayer& links);

  /// @brief Starts the periodic work.
  void Start();

  void Handle(LinkId link, const Heartbeat& heartbeat);
  void OnLinkClosed(LinkId link);

  [[nodiscard]] const Directory& directory() const { return m_directory; }

 private:
  void Tick();
  void PushDirectory();

  const Settings& m_settings;
  FiberLoop& m_loop;
  LinkLayer& m_links;
  Directory m_directory;
  std::map<LinkId, Subscriber> m_subscribers;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_CONTROL_SERVICE_H_
