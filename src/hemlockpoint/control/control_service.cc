#include "hemlockpoint/control/control_service.h"

#include "hemlockpoint/log/log.h"

namespace hemlockpoint {

namespace {

// Changes within one period go out together.
constexpr Millis kPushPeriod(100);

}  // namespace

ControlService::ControlService(const Settings& settings,
                               FiberLoop& loop,
                               LinkLayer& links)
    : m_settings(settings), m_loop(loop), m_links(links) {
  m_directory.m_origin =
      settings.m_node.value() + "-" + std::to_string(UnixMillis());
  m_directory.m_started = SteadyNow();
}

void ControlService::Start() {
  m_loop.SpawnPeriodic(kPushPeriod, [this] { Tick(); });
}

void ControlService::Handle(LinkId link, const Heartbeat& heartbeat) {
  HeartbeatAck ack;
  ack.m_leading = true;
  ack.m_leader = ToText(m_settings.m_peer);
  m_links.Send(link, ack);
  RenewMember(m_directory, heartbeat.m_member, SteadyNow());
  UpdateInterests(m_subscribers[link], m_directory, heartbeat);
}

void ControlService::OnLinkClosed(LinkId link) {
  m_subscribers.erase(link);
}

void ControlService::Tick() {
  for (const NodeId& node : ExpireMembers(m_directory, SteadyNow())) {
    LogLine(LogLevel::kWarning, "member_gone").With("node", node.value());
  }
  PushDirectory();
}

void ControlService::PushDirectory() {
  const Millis now = SteadyNow();
  for (auto& [link, subscriber] : m_subscribers) {
    const DirectoryDelta delta = TakeDelta(subscriber, m_directory, now);
    if (!delta.m_services.empty()) {
      m_links.Send(link, delta);
    }
  }
}

}  // namespace hemlockpoint
