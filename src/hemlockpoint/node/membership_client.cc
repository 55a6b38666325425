#include "hemlockpoint/node/membership_client.h"

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/membership/directory.h"
#include "hemlockpoint/membership/member_view.h"

namespace hemlockpoint {

namespace {

// An isolated leader can't prove its majority for longer than this.
constexpr Millis kLeaderProofFor(2000);
constexpr Millis kLinkTimeout(400);
constexpr Millis kFirstMembersWithin(400);
constexpr Millis kInterestFor(600'000);
constexpr Millis kEmptyInterestFor(10'000);
constexpr std::size_t kMaxInterests = 128;

}  // namespace

MembershipClient::MembershipClient(NodeCore& core, TargetGate& gate)
    : m_core(core),
      m_gate(gate),
      m_control(core.m_settings.m_control_hosts.front().m_peer),
      m_asked_since(SteadyNow()) {}

void MembershipClient::Run() {
  while (!m_core.m_loop.stopping()) {
    Beat();
    ForgetIdleInterests();
    m_beat_soon = false;
    (void)m_changed.WaitUntil(SteadyNow() + kHeartbeatPeriod, [this] {
      return m_beat_soon || m_core.m_loop.stopping();
    });
  }
}

void MembershipClient::HeartbeatSoon() {
  m_beat_soon = true;
  m_changed.Notify();
}

bool MembershipClient::has_leader() const {
  return SteadyNow() - m_last_good_ack < kLeaderProofFor;
}

void MembershipClient::Beat() {
  const Millis now = SteadyNow();
  const Millis silent_since = Max(m_last_good_ack, m_asked_since);
  if (now - silent_since > kLeaderProofFor) {
    TryNextHost();
  }
  const Result<LinkId> link =
      m_core.m_links->LinkTo(m_control, now + kLinkTimeout);
  if (!link) {
    TryNextHost();
    return;
  }
  m_core.m_links->Send(*link, MakeHeartbeat());
}

void MembershipClient::TryNextHost() {
  const auto& hosts = m_core.m_settings.m_control_hosts;
  if (hosts.size() > 1) {
    m_core.m_links->CloseTo(m_control);
  }
  m_next_host = (m_next_host + 1) % hosts.size();
  m_control = hosts[m_next_host].m_peer;
  m_asked_since = SteadyNow();
  LogLine(LogLevel::kInfo, "control_host_tried")
      .With("peer", ToText(m_control));
}

Heartbeat MembershipClient::MakeHeartbeat() const {
  const Settings& settings = m_core.m_settings;
  Heartbeat heartbeat;
  MemberEntry& member = heartbeat.m_member;
  member.m_node = settings.m_node;
  member.m_incarnation = m_core.m_incarnation;
  member.m_peer = ToText(settings.m_peer);
  member.m_admin = ToText(settings.m_admin);
  member.m_region = settings.m_region;
  member.m_failure_domain = settings.m_failure_domain;
  member.m_target = m_gate.Summary();
  member.m_revision = m_core.m_entry.m_policy->m_revision;
  for (const auto& [service, interest] : m_interests) {
    heartbeat.m_interests.push_back(service);
  }
  heartbeat.m_directory_origin = m_origin;
  heartbeat.m_directory_version = m_version;
  return heartbeat;
}

bool MembershipClient::Handle(const HeartbeatAck& ack) {
  if (ack.m_leading && ack.m_proof_age < kLeaderProofFor) {
    m_last_good_ack = SteadyNow() - ack.m_proof_age;
    return true;
  }
  const Result<Endpoint> leader = ParseEndpoint(ack.m_leader);
  if (leader && !(*leader == m_control)) {
    m_control = *leader;
    m_asked_since = SteadyNow();
    HeartbeatSoon();
  }
  return false;
}

void MembershipClient::Handle(const DirectoryDelta& delta) {
  const std::vector<std::string> stale = ApplyDelta(
      m_core.m_members, m_core.m_entry.m_services, delta, SteadyNow());
  for (const std::string& peer : stale) {
    const Result<Endpoint> endpoint = ParseEndpoint(peer);
    if (endpoint) {
      m_core.m_links->CloseTo(*endpoint);
    }
  }
  m_origin = delta.m_origin;
  m_version = delta.m_version;
  m_changed.Notify();
}

void MembershipClient::WantService(const ServiceName& service) {
  const Millis now = SteadyNow();
  const auto known = m_interests.find(service);
  if (known == m_interests.end()) {
    if (m_interests.size() >= kMaxInterests) {
      return;
    }
    m_interests[service] = {now, now};
    HeartbeatSoon();
  }
  Interest& interest = m_interests[service];
  interest.m_used = now;
  const Millis first_members_by = interest.m_asked + kFirstMembersWithin;
  if (m_core.m_entry.m_services.count(service) == 0 && now < first_members_by) {
    (void)m_changed.WaitUntil(first_members_by, [&] {
      return m_core.m_entry.m_services.count(service) != 0;
    });
  }
}

void MembershipClient::ForgetIdleInterests() {
  const Millis now = SteadyNow();
  for (auto entry = m_interests.begin(); entry != m_interests.end();) {
    const bool empty = m_core.m_entry.m_services.count(entry->first) == 0;
    const Millis keep = empty ? kEmptyInterestFor : kInterestFor;
    const bool idle = now - entry->second.m_used > keep;
    if (idle) {
      // Nobody tells about its members any more.
      m_core.m_entry.m_services.erase(entry->first);
    }
    entry = idle ? m_interests.erase(entry) : std::next(entry);
  }
}

}  // namespace hemlockpoint
