#include "hemlockpoint/node/membership_client.h"

#include <utility>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/membership/directory.h"

namespace hemlockpoint {

namespace {

constexpr Millis kLinkTimeout(400);
// While no leader is known. 550 nodes then send fewer than 3,000 heartbeats a
// second to the control hosts together.
constexpr Millis kHeartbeatPeriodWithoutLeader(200);
// Wait for the members of a service that is called for the first time.
constexpr Millis kFirstMembersTimeout(400);
// Time after its last use at which a service is no longer requested.
constexpr Millis kInterestLifetime(600'000);
constexpr Millis kUnknownServiceInterestLifetime(10'000);
constexpr std::size_t kMaxInterests = 128;

}  // namespace

MembershipClient::MembershipClient(FiberLoop& loop,
                                   LinkManager& links,
                                   std::vector<Endpoint> seeds,
                                   MembershipHooks hooks)
    : m_loop(loop), m_links(links), m_hooks(std::move(hooks)) {
  SetSeeds(std::move(seeds));
}

void MembershipClient::SetSeeds(std::vector<Endpoint> seeds) {
  hemlockpoint::SetSeeds(m_hosts, std::move(seeds), SteadyNow());
}

void MembershipClient::Run() {
  while (!m_loop.stopping()) {
    SendHeartbeat();
    RemoveIdleInterests();
    m_is_heartbeat_requested = false;
    const Millis period =
        has_leader() ? kHeartbeatPeriod : kHeartbeatPeriodWithoutLeader;
    (void)m_changed.WaitUntil(SteadyNow() + period, [this] {
      return m_is_heartbeat_requested || m_loop.stopping();
    });
  }
}

void MembershipClient::RequestHeartbeat() {
  m_is_heartbeat_requested = true;
  m_changed.Notify();
}

bool MembershipClient::has_leader() const {
  return HasLeader(m_hosts, SteadyNow());
}

void MembershipClient::SendHeartbeat() {
  const Millis now = SteadyNow();
  if (m_had_leader && !HasLeader(m_hosts, now)) {
    m_had_leader = false;
    LogLine(LogLevel::kWarning, "leader_lost")
        .With("asked", ToText(m_hosts.m_current))
        .With("proof_age_ms", (now - m_hosts.m_last_quorum_ack).value());
  }
  if (IsCurrentHostSilent(m_hosts, now)) {
    FailOverToNextHost();
  }
  const Endpoint host = m_hosts.m_current;
  const Result<LinkId> link = m_links.EnsureLink(host, now + kLinkTimeout);
  if (!link) {
    // An ack may have named the leader meanwhile.
    if (host == m_hosts.m_current) {
      FailOverToNextHost();
    }
    return;
  }
  m_links.Send(*link, MakeHeartbeat());
}

void MembershipClient::FailOverToNextHost() {
  m_links.RetireLinkTo(m_hosts.m_current);
  SelectNextHost(m_hosts, SteadyNow());
  LogLine(LogLevel::kInfo, "control_host_tried")
      .With("peer", ToText(m_hosts.m_current));
}

Heartbeat MembershipClient::MakeHeartbeat() const {
  Heartbeat heartbeat;
  heartbeat.m_member = m_hooks.m_describe_self();
  for (const auto& [service, interest] : m_interests) {
    heartbeat.m_interests.push_back(service);
  }
  heartbeat.m_directory_origin = m_origin;
  heartbeat.m_directory_version = m_version;
  return heartbeat;
}

bool MembershipClient::Handle(const HeartbeatAck& ack) {
  const Endpoint previous_host = m_hosts.m_current;
  const bool is_leader = HandleHeartbeatAck(m_hosts, ack, SteadyNow());
  if (!(previous_host == m_hosts.m_current)) {
    RequestHeartbeat();
  }
  if (is_leader && !m_had_leader) {
    m_had_leader = true;
    LogLine(LogLevel::kInfo, "leader_found")
        .With("peer", ToText(m_hosts.m_current));
  }
  return is_leader;
}

void MembershipClient::Handle(const DirectoryDelta& delta) {
  for (const std::string& peer : m_hooks.m_apply_delta(delta)) {
    const Result<Endpoint> endpoint = ParseEndpoint(peer);
    if (endpoint) {
      LogLine(LogLevel::kInfo, "member_link_retired")
          .With("peer", peer)
          .With("calls", static_cast<std::uint64_t>(m_links.CallsTo(*endpoint)))
          .With("directory", delta.m_origin)
          .With("version", delta.m_version)
          .With("full", delta.m_is_full ? "yes" : "no");
      m_links.RetireLinkTo(*endpoint);
    }
  }
  m_origin = delta.m_origin;
  m_version = delta.m_version;
  m_changed.Notify();
}

void MembershipClient::AddInterest(const ServiceName& service) {
  const Millis now = SteadyNow();
  const auto found = m_interests.find(service);
  if (found != m_interests.end()) {
    found->second.m_last_used = now;
  } else if (m_interests.size() < kMaxInterests) {
    m_interests[service] = {now, now};
    RequestHeartbeat();
  }
}

void MembershipClient::AwaitServiceMembers(const ServiceName& service) {
  AddInterest(service);
  const auto interest = m_interests.find(service);
  if (interest == m_interests.end()) {
    return;
  }
  const Millis first_members_by =
      interest->second.m_requested_at + kFirstMembersTimeout;
  if (!m_hooks.m_knows_service(service) && SteadyNow() < first_members_by) {
    (void)m_changed.WaitUntil(first_members_by,
                              [&] { return m_hooks.m_knows_service(service); });
  }
}

void MembershipClient::RemoveIdleInterests() {
  const Millis now = SteadyNow();
  for (auto entry = m_interests.begin(); entry != m_interests.end();) {
    const Millis lifetime = m_hooks.m_knows_service(entry->first)
                                ? kInterestLifetime
                                : kUnknownServiceInterestLifetime;
    const bool is_idle = now - entry->second.m_last_used > lifetime;
    if (is_idle) {
      m_hooks.m_forget_service(entry->first);
    }
    entry = is_idle ? m_interests.erase(entry) : std::next(entry);
  }
}

}  // namespace hemlockpoint
