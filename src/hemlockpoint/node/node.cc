#include "hemlockpoint/node/node.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "hemlockpoint/control/control_service.h"
#include "hemlockpoint/http/server.h"
#include "hemlockpoint/log/log.h"
#include "hemlockpoint/membership/member_view.h"
#include "hemlockpoint/node/admin_service.h"
#include "hemlockpoint/node/claim_service.h"
#include "hemlockpoint/node/context.h"
#include "hemlockpoint/node/control_operations.h"
#include "hemlockpoint/node/entry_service.h"
#include "hemlockpoint/node/keyed_calls.h"
#include "hemlockpoint/node/membership_client.h"
#include "hemlockpoint/node/policy_client.h"
#include "hemlockpoint/node/status.h"
#include "hemlockpoint/node/target_dispatcher.h"
#include "hemlockpoint/report/refusal_json.h"
#include "hemlockpoint/runtime/start_retry.h"

namespace hemlockpoint {

namespace {

// Time in which the other nodes learn that this node is leaving.
constexpr Millis kLeavePropagationDelay(500);
// Share of the drain timeout during which a leaving node may accept new
// connections; the calls on them have the rest of it to end.
constexpr double kAcceptShare = 0.5;
constexpr Millis kDrainPollPeriod(20);
constexpr Millis kCloseTimeout(1000);
constexpr Millis kHousekeepingPeriod(1000);
constexpr unsigned kBadRequest = 400;

HttpServerLimits LimitsOf(const Settings& settings) {
  HttpServerLimits limits;
  limits.m_header_bytes = settings.m_limits.m_header_bytes;
  limits.m_body_bytes = settings.m_limits.m_body_bytes;
  limits.m_connections = settings.m_limits.m_connections;
  return limits;
}

Hello HelloOf(const NodeContext& context) {
  Hello hello;
  hello.m_group = context.m_settings.m_group;
  hello.m_node = context.m_settings.m_node;
  hello.m_incarnation = context.m_incarnation;
  hello.m_failure_domain = context.m_settings.m_failure_domain;
  return hello;
}

std::vector<Endpoint> PeersOf(const Settings& settings) {
  std::vector<Endpoint> peers;
  for (const ControlHost& host : settings.m_control_hosts) {
    peers.push_back(host.m_peer);
  }
  return peers;
}

MemberEntry DescribeNode(const NodeContext& context,
                         const TargetDispatcher& dispatcher) {
  const Settings& settings = context.m_settings;
  MemberEntry member;
  member.m_node = settings.m_node;
  member.m_incarnation = context.m_incarnation;
  member.m_peer = ToText(settings.m_peer);
  member.m_admin = ToText(settings.m_admin);
  member.m_region = settings.m_region;
  member.m_failure_domain = settings.m_failure_domain;
  member.m_target = dispatcher.Summary();
  member.m_revision = context.m_entry.m_policy->m_revision;
  return member;
}

}  // namespace

struct Node::State {
  State(const Settings& settings, FiberLoop& loop)
      : m_settings(settings),
        m_loop(loop),
        m_context(settings, loop),
        m_links(
            loop,
            HelloOf(m_context),
            settings.m_limits.m_calls,
            {[this](InboundCall call) { m_dispatcher.Accept(std::move(call)); },
             [this](LinkId link, const NodeId&, const Message& message) {
               HandleMessage(link, message);
             },
             [this](LinkId link, const NodeId&) { OnLinkClosed(link); }}),
        m_claims(m_context),
        m_keyed_calls(m_context, m_claims),
        m_policy(m_context),
        m_dispatcher(m_context, m_keyed_calls),
        m_membership(loop, m_links, PeersOf(settings), MakeMembershipHooks()),
        m_entry(m_context,
                m_dispatcher,
                [this](const ServiceName& service) {
                  m_membership.AwaitServiceMembers(service);
                }),
        m_http(loop,
               LimitsOf(settings),
               [this](HttpExchange& exchange) { m_entry.Serve(exchange); }),
        m_admin_http(loop, LimitsOf(settings), [this](HttpExchange& exchange) {
          m_admin.Serve(exchange);
        }) {
    m_context.m_links = &m_links;
    m_dispatcher.SetSuspectsHandler(
        [this](const std::vector<Fingerprint>& changed) {
          ReportSuspects(changed);
        });
    if (settings.m_is_control) {
      m_control = std::make_unique<ControlService>(settings, loop, m_links);
    }
    AddOperations();
  }

  MembershipHooks MakeMembershipHooks() {
    return {[this] { return DescribeNode(m_context, m_dispatcher); },
            [this](const DirectoryDelta& delta) {
              return MergeDirectoryDelta(m_context.m_members,
                                         m_context.m_entry.m_services, delta,
                                         SteadyNow());
            },
            [this](const ServiceName& service) {
              return m_context.m_entry.m_services.count(service) != 0;
            },
            [this](const ServiceName& service) {
              m_context.m_entry.m_services.erase(service);
            }};
  }

  void HandleMessage(LinkId link, const Message& message) {
    std::visit([&](const auto& value) { Handle(link, value); }, message);
  }

  // Ignores the parts of calls, which the link manager handles.
  template <typename Other>
  void Handle(LinkId, const Other&) {}

  void Handle(LinkId, const HeartbeatAck& ack) {
    if (m_membership.Handle(ack) && ack.m_revision == Revision()) {
      m_policy.OnNoDocument();
    }
  }
  void Handle(LinkId, const DirectoryDelta& delta) {
    m_membership.Handle(delta);
  }
  void Handle(LinkId, const PolicyPush& push) {
    if (m_policy.Handle(push)) {
      m_membership.RequestHeartbeat();
    }
  }
  void Handle(LinkId, const ClaimReplicaSets& sets) { m_claims.Handle(sets); }
  void Handle(LinkId link, const ClaimRequest& request) {
    m_claims.Handle(link, request);
  }
  void Handle(LinkId, const ClaimReply& reply) { m_claims.Handle(reply); }
  void Handle(LinkId link, const ClaimSyncRequest& sync) {
    m_claims.Handle(link, sync);
  }
  void Handle(LinkId, const ClaimSyncReply& reply) { m_claims.Handle(reply); }
  void Handle(LinkId link, const SuspectReport& report) {
    // Nodes send their reports to the leader, which forwards them to all nodes.
    if (m_control && m_control->group().is_leader()) {
      m_control->Handle(link, report);
    }
    m_policy.Handle(report);
  }
  void Handle(LinkId link, const Heartbeat& heartbeat) {
    ForwardToControl(link, heartbeat);
  }
  void Handle(LinkId link, const GroupInit& init) {
    ForwardToControl(link, init);
  }
  void Handle(LinkId link, const InstanceQuery& query) {
    ForwardToControl(link, query);
  }
  void Handle(LinkId link, const VoteRequest& m) { ForwardToGroup(link, m); }
  void Handle(LinkId link, const VoteReply& m) { ForwardToGroup(link, m); }
  void Handle(LinkId link, const AppendRequest& m) { ForwardToGroup(link, m); }
  void Handle(LinkId link, const AppendReply& m) { ForwardToGroup(link, m); }
  void Handle(LinkId link, const SnapshotRequest& m) {
    ForwardToGroup(link, m);
  }

  template <typename Type>
  void ForwardToControl(LinkId link, const Type& message) {
    if (m_control) {
      m_control->Handle(link, message);
    }
  }

  void ForwardToGroup(LinkId link, const RaftMessage& message) {
    if (m_control) {
      m_control->Handle(link, message);
    }
  }

  void ReportSuspects(const std::vector<Fingerprint>& changed) {
    const Millis now = SteadyNow();
    SuspectReport report;
    for (const Fingerprint request : changed) {
      const auto entry = m_context.m_entry.m_quarantine.m_entries.find(request);
      if (entry != m_context.m_entry.m_quarantine.m_entries.end()) {
        const bool is_quarantined =
            entry->second.m_state == SuspectState::kQuarantined;
        report.m_rows.push_back({request, is_quarantined ? std::uint64_t{1} : 0,
                                 entry->second.m_expires - now});
      }
    }
    m_links.SendTo(m_membership.control_endpoint(), report);
  }

  void OnLinkClosed(LinkId link) {
    if (m_control) {
      m_control->OnLinkClosed(link);
    }
  }

  void AddOperations() {
    m_admin.Add("POST /hemlock/v1/announce",
                [this](const AdminRequest& r) { return Announce(r); });
    m_admin.Add("GET /hemlock/v1/status", [this](const AdminRequest&) {
      return MakeJsonResponse(
          NodeStatusJson(m_context, m_dispatcher, m_membership));
    });
    m_admin.Add("GET /hemlock/v1/explain",
                [this](const AdminRequest& r) { return Explain(r); });
    m_admin.Add("GET /hemlock/v1/burn", [this](const AdminRequest&) {
      return MakeJsonResponse(BurnRatesToJson(m_context.m_burn, SteadyNow()));
    });
    m_admin.Add("GET /metrics", [this](const AdminRequest&) {
      AdminResponse response;
      response.m_content_type = "text/plain; version=0.0.4";
      response.m_body = MetricsText(m_context, m_dispatcher);
      return response;
    });
    if (m_control) {
      AddControlOperations(m_admin, *m_control);
    }
  }

  AdminResponse Announce(const AdminRequest& request) {
    const Result<TargetAnnouncement> announcement =
        ParseAnnouncement(request.m_body);
    if (!announcement) {
      return MakeErrorResponse(kBadRequest, announcement.reason());
    }
    const TargetSummary before = m_dispatcher.Summary();
    m_dispatcher.Announce(*announcement);
    const TargetSummary after = m_dispatcher.Summary();
    if (before.m_service != after.m_service ||
        before.m_leaving != after.m_leaving) {
      m_membership.RequestHeartbeat();
    }
    nlohmann::ordered_json json;
    json["node"] = m_settings.m_node.value();
    json["entry"] = ToText(m_settings.m_http);
    return MakeJsonResponse(json);
  }

  AdminResponse Explain(const AdminRequest& request) const {
    const auto id = request.m_query.find("request_id");
    if (id == request.m_query.end() || id->second.empty()) {
      return MakeErrorResponse(kBadRequest, "request_id is missing");
    }
    nlohmann::ordered_json decisions = nlohmann::ordered_json::array();
    for (const Decision& decision :
         m_context.m_decisions.Find(RequestId(id->second))) {
      decisions.push_back(ToJson(decision));
    }
    nlohmann::ordered_json json;
    json["node"] = m_settings.m_node.value();
    json["decisions"] = decisions;
    return MakeJsonResponse(json);
  }

  std::optional<std::string> Start() {
    std::optional<std::string> error;
    if (m_control) {
      error = m_control->Start();
    }
    const Millis until = SteadyNow() + kStartPatience;
    const auto listen = [&](auto& listener, const Endpoint& endpoint) {
      if (!error) {
        error = RetryAtStart(until, [&] { return listener.Listen(endpoint); });
      }
    };
    listen(m_links, m_settings.m_peer);
    listen(m_admin_http, m_settings.m_admin);
    if (m_settings.m_is_node) {
      listen(m_http, m_settings.m_http);
    }
    if (error) {
      return error;
    }
    m_loop.Spawn([this] { m_membership.Run(); });
    m_loop.SpawnPeriodic(TargetDispatcher::kTickPeriod,
                         [this] { m_dispatcher.Tick(); });
    m_loop.SpawnPeriodic(ClaimService::kClaimTickPeriod,
                         [this] { m_claims.Tick(); });
    m_loop.SpawnPeriodic(kHousekeepingPeriod, [this] { RemoveExpiredState(); });
    return std::nullopt;
  }

  void RemoveExpiredState() {
    const Millis now = SteadyNow();
    RemoveOldThresholds(m_context.m_entry.m_thresholds, now);
    RemoveExpiredEntries(m_context.m_entry.m_quarantine, now);
  }

  bool HasCallsInFlight() const {
    return m_context.m_entry_calls > 0 || m_dispatcher.calls() > 0 ||
           m_http.HasUnansweredRequests();
  }

  void DrainAndStop() {
    LogLine(LogLevel::kInfo, "draining")
        .With("calls", static_cast<std::uint64_t>(m_context.m_entry_calls +
                                                  m_dispatcher.calls()));
    m_context.m_leaving = true;
    m_dispatcher.BeginLeaving();
    m_membership.RequestHeartbeat();
    const Millis drain_deadline = SteadyNow() + m_settings.m_drain_timeout;
    const Millis accept_until =
        SteadyNow() + m_settings.m_drain_timeout * kAcceptShare;
    m_http.CloseAfterResponses();
    SleepFor(Min(kLeavePropagationDelay, accept_until - SteadyNow()));
    // The calls that the local target makes for its running work enter here.
    while (m_dispatcher.calls() > 0 && SteadyNow() < accept_until) {
      SleepFor(kDrainPollPeriod);
    }
    m_http.Drain();
    while (HasCallsInFlight() && SteadyNow() < drain_deadline) {
      SleepFor(kDrainPollPeriod);
    }
    LogLine(LogLevel::kInfo, "drained")
        .With("cut_off", static_cast<std::uint64_t>(m_context.m_entry_calls +
                                                    m_dispatcher.calls()));
    m_admin_http.Drain();
    m_links.Shutdown();
    const Millis close_deadline = SteadyNow() + kCloseTimeout;
    while (m_links.links() > 0 && SteadyNow() < close_deadline) {
      SleepFor(kDrainPollPeriod);
    }
    m_loop.Stop();
    m_membership.RequestHeartbeat();
  }

  const Settings& m_settings;
  FiberLoop& m_loop;
  NodeContext m_context;
  LinkManager m_links;
  ClaimService m_claims;
  KeyedCalls m_keyed_calls;
  PolicyClient m_policy;
  TargetDispatcher m_dispatcher;
  MembershipClient m_membership;
  EntryService m_entry;
  AdminService m_admin;
  HttpServer m_http;
  HttpServer m_admin_http;
  std::unique_ptr<ControlService> m_control;
};

Node::Node(const Settings& settings, FiberLoop& loop)
    : m_state(std::make_unique<State>(settings, loop)) {}

Node::~Node() = default;

std::optional<std::string> Node::Start() {
  return m_state->Start();
}

void Node::DrainAndStop() {
  m_state->DrainAndStop();
}

}  // namespace hemlockpoint
