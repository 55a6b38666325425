// The operations of ControlService that form the control group and change its
// members.

#include <algorithm>

#include "hemlockpoint/control/control_service.h"
#include "hemlockpoint/wire/fields_codec.h"

namespace hemlockpoint {

namespace {

constexpr Millis kCommitTimeout(4000);
constexpr Millis kInstanceQueryTimeout(1500);
constexpr Millis kGroupInitPeriod(1000);

}  // namespace

std::optional<InstanceQuery> ControlService::QueryInstance(
    const Endpoint& peer) {
  const Millis deadline = SteadyNow() + kInstanceQueryTimeout;
  const Result<LinkId> link = m_links.EnsureLink(peer, deadline);
  if (!link) {
    return std::nullopt;
  }
  m_instance_replies.erase(*link);
  m_links.Send(*link, InstanceQuery());
  const bool has_reply = m_instance_reply_received.WaitUntil(
      deadline, [&] { return m_instance_replies.count(*link) != 0; });
  return has_reply ? std::optional<InstanceQuery>(m_instance_replies[*link])
                   : std::nullopt;
}

// Sends the initial configuration to the other initial members until a leader
// is known. No member can be elected before a majority has this configuration.
void ControlService::ResendGroupInit(Millis now) {
  const RaftState& raft = m_group.raft();
  const bool is_just_formed = IsInGroup(raft) && raft.m_leader.empty() &&
                              raft.m_log.m_snapshot.m_index == 0 &&
                              LastIndex(raft.m_log) == 1;
  if (!is_just_formed || now < m_next_group_init_at) {
    return;
  }
  m_next_group_init_at = now + kGroupInitPeriod;
  for (const GroupMember& member : raft.m_config.m_config.m_members) {
    const auto peer = ParseEndpoint(member.m_peer);
    if (peer && member.m_instance != raft.m_instance) {
      m_links.SendTo(*peer, GroupInit{raft.m_config.m_config});
    }
  }
}

std::optional<std::string> ControlService::InitGroup(
    const std::string& admin_token_sha256) {
  if (IsInGroup(m_group.raft())) {
    return "this host is in a group already";
  }
  GroupConfig config;
  config.m_group_id = MakeRandomId();
  config.m_admin_token_sha256 = admin_token_sha256;
  for (const ControlHost& host : m_settings.m_control_hosts) {
    GroupMember member;
    member.m_node = host.m_node;
    member.m_peer = ToText(host.m_peer);
    member.m_is_voter = true;
    if (host.m_node == m_settings.m_node) {
      member.m_instance = m_group.raft().m_instance;
      member.m_admin = ToText(m_settings.m_admin);
    } else {
      const auto reply = QueryInstance(host.m_peer);
      if (!reply) {
        return "control host " + host.m_node.value() + " does not answer";
      }
      if (!reply->m_group_id.empty()) {
        return "control host " + host.m_node.value() + " is in a group already";
      }
      member.m_instance = reply->m_instance;
      member.m_admin = reply->m_admin;
    }
    config.m_members.push_back(member);
  }
  m_group.Init(config);
  return std::nullopt;
}

std::optional<std::string> ControlService::CommitConfig(
    const GroupConfig& config) {
  const auto committed =
      m_group.Commit(LogEntryKind::kConfig, EncodeFields(config),
                     SteadyNow() + kCommitTimeout);
  return committed ? std::nullopt
                   : std::optional<std::string>(committed.reason());
}

std::optional<std::string> ControlService::AddHost(const NodeId& node,
                                                   const Endpoint& peer) {
  GroupConfig config = m_group.raft().m_config.m_config;
  for (const GroupMember& member : config.m_members) {
    if (member.m_node == node) {
      return "a host of this name is a member; remove it first";
    }
  }
  constexpr std::size_t kMaxGroupHosts = 7;
  if (config.m_members.size() >= kMaxGroupHosts) {
    return "the group has 7 hosts already";
  }
  const auto reply = QueryInstance(peer);
  if (!reply) {
    return "the host does not answer";
  }
  if (!reply->m_group_id.empty()) {
    return "the host's data folder belongs to a group already";
  }
  GroupMember member;
  member.m_node = node;
  member.m_instance = reply->m_instance;
  member.m_peer = ToText(peer);
  member.m_admin = reply->m_admin;
  config.m_members.push_back(member);
  return CommitConfig(config);
}

std::optional<std::string> ControlService::RemoveHost(const NodeId& node) {
  GroupConfig config = m_group.raft().m_config.m_config;
  const auto member = std::find_if(
      config.m_members.begin(), config.m_members.end(),
      [&](const GroupMember& entry) { return entry.m_node == node; });
  if (member == config.m_members.end()) {
    return "no such host in the group";
  }
  if (config.m_members.size() == 1) {
    return "the last host cannot be removed";
  }
  config.m_members.erase(member);
  return CommitConfig(config);
}

}  // namespace hemlockpoint
