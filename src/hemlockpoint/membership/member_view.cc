#include "hemlockpoint/membership/member_view.h"

#include <algorithm>
#include <set>

namespace hemlockpoint {

namespace {

void RemoveTarget(std::map<ServiceName, Balancer>& services,
                  const MemberEntry& member) {
  const auto service = services.find(member.m_target.m_service);
  if (service == services.end()) {
    return;
  }
  service->second.m_targets.erase(member.m_node);
  if (service->second.m_targets.empty()) {
    services.erase(service);
  }
}

void UpsertTarget(std::map<ServiceName, Balancer>& services,
                  const MemberEntry& member,
                  Millis now) {
  if (member.m_target.m_service.empty()) {
    return;
  }
  Balancer& balancer = services[member.m_target.m_service];
  TargetView& target = balancer.m_targets[member.m_node];
  if (target.m_incarnation != member.m_incarnation) {
    const std::uint64_t outstanding = target.m_outstanding;
    target = TargetView();
    target.m_outstanding = outstanding;
    target.m_known_since = now;
  }
  target.m_node = member.m_node;
  target.m_incarnation = member.m_incarnation;
  target.m_region = member.m_region;
  target.m_slots = std::max(1.0, static_cast<double>(member.m_target.m_slots));
  target.m_leaving = member.m_target.m_leaving;
}

}  // namespace

std::vector<std::string> MergeDirectoryDelta(
    std::map<NodeId, MemberEntry>& members,
    std::map<ServiceName, Balancer>& services,
    const DirectoryDelta& delta,
    Millis now) {
  std::vector<std::string> stale_peers;
  std::set<NodeId> listed;
  for (const MemberEntry& member : delta.m_changed) {
    listed.insert(member.m_node);
    const auto known = members.find(member.m_node);
    if (known != members.end()) {
      if (known->second.m_incarnation != member.m_incarnation) {
        stale_peers.push_back(known->second.m_peer);
      }
      if (known->second.m_target.m_service != member.m_target.m_service) {
        RemoveTarget(services, known->second);
      }
    }
    members[member.m_node] = member;
    UpsertTarget(services, member, now);
  }
  std::vector<NodeId> gone = delta.m_gone;
  if (delta.m_is_full) {
    for (const auto& [node, member] : members) {
      const bool is_subscribed =
          std::find(delta.m_services.begin(), delta.m_services.end(),
                    member.m_target.m_service) != delta.m_services.end();
      if (is_subscribed && listed.count(node) == 0) {
        gone.push_back(node);
      }
    }
  }
  for (const NodeId& node : gone) {
    const auto known = members.find(node);
    if (known != members.end()) {
      stale_peers.push_back(known->second.m_peer);
      RemoveTarget(services, known->second);
      members.erase(known);
    }
  }
  return stale_peers;
}

}  // namespace hemlockpoint
