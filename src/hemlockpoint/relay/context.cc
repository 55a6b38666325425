#include "hemlockpoint/relay/context.h"

#include <algorithm>
#include <set>

#include "hemlockpoint/base/digest.h"

namespace hemlockpoint {

namespace {

void UpsertTargetPeer(RelayContext& context, const MemberEntry& member) {
  const Result<Endpoint> endpoint = ParseEndpoint(member.m_peer);
  if (member.m_target.m_service.empty() || !endpoint) {
    return;
  }
  TargetPeer& peer =
      context.m_targets_by_service[member.m_target.m_service][member.m_node];
  if (peer.m_member.m_incarnation != member.m_incarnation) {
    const std::uint64_t outstanding = peer.m_outstanding;
    // Keeps the count of calls in flight to the former incarnation, since each
    // of them decrements it when it ends.
    peer = TargetPeer();
    peer.m_outstanding = outstanding;
  }
  peer.m_member = member;
  peer.m_peer = *endpoint;
  peer.m_same_domain =
      member.m_failure_domain == context.m_settings.m_failure_domain;
}

void RemoveTargetPeer(RelayContext& context, const MemberEntry& member) {
  const auto service =
      context.m_targets_by_service.find(member.m_target.m_service);
  if (service != context.m_targets_by_service.end()) {
    service->second.erase(member.m_node);
  }
}

}  // namespace

RelayContext::RelayContext(const Settings& settings,
                           const ProtocolAdapter& adapter,
                           FiberLoop& loop)
    : m_settings(settings),
      m_adapter(adapter),
      m_loop(loop),
      m_incarnation(static_cast<std::uint64_t>(UnixMillis())),
      m_random(ComputeDigest(
                   {settings.m_node.value(), std::to_string(m_incarnation)})
                   .value()) {}

double RelayContext::Random() {
  return static_cast<double>(m_random() >> 11) * 0x1.0p-53;
}

void RecordNestedCongestion(RelayContext& context, double level, Millis now) {
  constexpr double kGain = 0.1;
  const double old = NestedCongestion(context, now);
  context.m_nested_congestion = old + (level - old) * kGain;
  context.m_nested_congestion_time = now;
}

double NestedCongestion(const RelayContext& context, Millis now) {
  constexpr Millis kMaxAge(1000);
  return now - context.m_nested_congestion_time > kMaxAge
             ? 0
             : context.m_nested_congestion;
}

void AvoidSilentTargets(RelayContext& context,
                        const std::vector<Endpoint>& silent_peers,
                        Millis now) {
  if (silent_peers.empty()) {
    return;
  }
  for (auto& [service, peers] : context.m_targets_by_service) {
    for (auto& [node, peer] : peers) {
      if (std::find(silent_peers.begin(), silent_peers.end(), peer.m_peer) !=
          silent_peers.end()) {
        peer.m_avoid_until =
            Max(peer.m_avoid_until, now + kSilentCheckPeriod * 2);
      }
    }
  }
}

std::vector<std::string> ApplyMembershipDelta(RelayContext& context,
                                              const DirectoryDelta& delta) {
  std::vector<std::string> stale_peers;
  std::set<NodeId> listed;
  for (const MemberEntry& member : delta.m_changed) {
    listed.insert(member.m_node);
    const auto known = context.m_members.find(member.m_node);
    if (known != context.m_members.end()) {
      if (known->second.m_incarnation != member.m_incarnation) {
        stale_peers.push_back(known->second.m_peer);
      }
      if (known->second.m_target.m_service != member.m_target.m_service) {
        RemoveTargetPeer(context, known->second);
      }
    }
    context.m_members[member.m_node] = member;
    UpsertTargetPeer(context, member);
  }
  std::vector<NodeId> removed = delta.m_gone;
  // A full delta also removes the members of its services that it omits.
  if (delta.m_is_full) {
    for (const auto& [node, member] : context.m_members) {
      const bool is_covered =
          std::find(delta.m_services.begin(), delta.m_services.end(),
                    member.m_target.m_service) != delta.m_services.end();
      if (is_covered && listed.count(node) == 0) {
        removed.push_back(node);
      }
    }
  }
  for (const NodeId& node : removed) {
    const auto known = context.m_members.find(node);
    if (known != context.m_members.end()) {
      stale_peers.push_back(known->second.m_peer);
      RemoveTargetPeer(context, known->second);
      context.m_members.erase(known);
    }
  }
  return stale_peers;
}

}  // namespace hemlockpoint
