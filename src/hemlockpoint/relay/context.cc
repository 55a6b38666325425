#include "hemlockpoint/relay/context.h"

#include <algorithm>
#include <set>

#include "hemlockpoint/base/digest.h"

namespace hemlockpoint {

namespace {

void UpsertTargetPeer(RelayContext& core, const MemberEntry& member) {
  const Result<Endpoint> endpoint = ParseEndpoint(member.m_peer);
  if (member.m_target.m_service.empty() || !endpoint) {
    return;
  }
  TargetPeer& peer = core.m_services[member.m_target.m_service][member.m_node];
  if (peer.m_member.m_incarnation != member.m_incarnation) {
    const std::uint64_t outstanding = peer.m_outstanding;
    peer = TargetPeer();
    peer.m_outstanding = outstanding;
  }
  peer.m_member = member;
  peer.m_peer = *endpoint;
  peer.m_same_domain =
      member.m_failure_domain == core.m_settings.m_failure_domain;
}

void RemoveTargetPeer(RelayContext& core, const MemberEntry& member) {
  const auto service = core.m_services.find(member.m_target.m_service);
  if (service != core.m_services.end()) {
    service->second.erase(member.m_node);
  }
}

}  // namespace

RelayContext::RelayContext(const Settings& settings,
                           const ProtocolAdapter& dialect,
                           FiberLoop& loop)
    : m_settings(settings),
      m_adapter(dialect),
      m_loop(loop),
      m_incarnation(static_cast<std::uint64_t>(UnixMillis())),
      m_random(
          DigestOf({settings.m_node.value(), std::to_string(m_incarnation)})
              .value()) {}

double RelayContext::Random() {
  return static_cast<double>(m_random() >> 11) * 0x1.0p-53;
}

void RecordNestedCongestion(RelayContext& core, double level, Millis now) {
  constexpr double kGain = 0.1;
  const double old = NestedCongestion(core, now);
  core.m_nested_congestion = old + (level - old) * kGain;
  core.m_nested_congestion_time = now;
}

double NestedCongestion(const RelayContext& core, Millis now) {
  constexpr Millis kValidFor(1000);
  return now - core.m_nested_congestion_time > kValidFor
             ? 0
             : core.m_nested_congestion;
}

std::vector<std::string> ApplyMembershipDelta(RelayContext& core,
                                              const DirectoryDelta& delta) {
  std::vector<std::string> stale;
  std::set<NodeId> listed;
  for (const MemberEntry& member : delta.m_changed) {
    listed.insert(member.m_node);
    const auto known = core.m_members.find(member.m_node);
    if (known != core.m_members.end()) {
      if (known->second.m_incarnation != member.m_incarnation) {
        stale.push_back(known->second.m_peer);
      }
      if (known->second.m_target.m_service != member.m_target.m_service) {
        RemoveTargetPeer(core, known->second);
      }
    }
    core.m_members[member.m_node] = member;
    UpsertTargetPeer(core, member);
  }
  std::vector<NodeId> gone = delta.m_gone;
  if (delta.m_full) {
    for (const auto& [node, member] : core.m_members) {
      const bool covered =
          std::find(delta.m_services.begin(), delta.m_services.end(),
                    member.m_target.m_service) != delta.m_services.end();
      if (covered && listed.count(node) == 0) {
        gone.push_back(node);
      }
    }
  }
  for (const NodeId& node : gone) {
    const auto known = core.m_members.find(node);
    if (known != core.m_members.end()) {
      stale.push_back(known->second.m_peer);
      RemoveTargetPeer(core, known->second);
      core.m_members.erase(known);
    }
  }
  return stale;
}

}  // namespace hemlockpoint
