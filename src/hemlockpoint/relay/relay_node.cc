#include "hemlockpoint/relay/relay_node.h"

#include <algorithm>
#include <utility>

#include "hemlockpoint/control/control_service.h"
#include "hemlockpoint/documents/document_delta.h"
#include "hemlockpoint/http/server.h"
#include "hemlockpoint/log/log.h"
#include "hemlockpoint/node/admin_service.h"
#include "hemlockpoint/node/membership_client.h"
#include "hemlockpoint/relay/context.h"
#include "hemlockpoint/relay/request_router.h"
#include "hemlockpoint/relay/slot_dispatcher.h"
#include "hemlockpoint/runtime/start_retry.h"

namespace hemlockpoint {

namespace {

// Time between failing the readiness check and closing the listener. Clients
// that poll readiness once a second see two failed checks.
constexpr Millis kReadinessNoticePeriod(2300);
constexpr Millis kDrainPoll(20);
constexpr Millis kCloseTimeout(300);
// A pushed document is ignored when a majority of the control group last
// acknowledged its sender longer ago than this.
constexpr Millis kMaxPushAckAge(2000);
constexpr Millis kLoadLogPeriod(2000);
// Upper bound for the size of a request's head, whatever the document allows.
constexpr std::uint64_t kMaxHeaderBytes = std::uint64_t{1024} * 1024;

HttpServerLimits AdminHttpLimits(const Settings& settings) {
  HttpServerLimits limits;
  limits.m_header_bytes = settings.m_limits.m_header_bytes;
  limits.m_body_bytes = AdminService::kMaxBodyBytes;
  limits.m_connections = settings.m_limits.m_connections;
  limits.m_connection_work = FiberWork::kControl;
  limits.m_request_work = FiberWork::kControl;
  return limits;
}

HttpServerLimits CallerHttpLimits(const Settings& settings,
                                  const CallerBounds& bounds) {
  HttpServerLimits limits;
  limits.m_header_bytes = settings.m_limits.m_header_bytes;
  limits.m_body_bytes = settings.m_limits.m_body_bytes;
  limits.m_connections = settings.m_limits.m_connections;
  if (bounds.m_header_bytes > 0) {
    limits.m_header_bytes = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(bounds.m_header_bytes, kMaxHeaderBytes));
  }
  if (bounds.m_body_bytes > 0) {
    limits.m_body_bytes = bounds.m_body_bytes;
  }
  if (bounds.m_head_timeout > Millis(0)) {
    limits.m_head_timeout = bounds.m_head_timeout;
  }
  limits.m_idle_timeout = bounds.m_idle_timeout;
  return limits;
}

Hello HelloOf(const RelayContext& context) {
  Hello hello;
  hello.m_group = context.m_settings.m_group;
  hello.m_node = context.m_settings.m_node;
  hello.m_incarnation = context.m_incarnation;
  hello.m_failure_domain = context.m_settings.m_failure_domain;
  return hello;
}

}  // namespace

struct RelayNode::State {
  State(const Settings& settings,
        const ProtocolAdapter& adapter,
        FiberLoop& loop)
      : m_loop(loop),
        m_context(settings, adapter, loop),
        m_links(
            loop,
            HelloOf(m_context),
            settings.m_limits.m_calls,
            {[this](InboundCall call) { m_dispatcher.Accept(std::move(call)); },
             [this](LinkId link, const NodeId&, const Message& message) {
               std::visit(
                   [&](const auto& value) { HandleMessage(link, value); },
                   message);
             },
             [this](LinkId link, const NodeId&) {
               if (m_control) {
                 m_control->OnLinkClosed(link);
               }
             }}),
        m_dispatcher(m_context),
        m_membership(loop, m_links, settings.m_seeds, MakeMembershipHooks()),
        m_router(m_context,
                 m_dispatcher,
                 [this](const ServiceName& service) {
                   m_membership.AwaitServiceMembers(service);
                 }),
        m_http(loop,
               CallerHttpLimits(settings, {}),
               [this](HttpExchange& exchange) { m_router.Serve(exchange); }),
        m_external_http(loop,
                        AdminHttpLimits(settings),
                        [this](HttpExchange& exchange) {
                          m_external_service.Serve(exchange);
                        }),
        m_ready_http(
            loop,
            AdminHttpLimits(settings),
            [this](HttpExchange& exchange) { m_ready.Serve(exchange); }),
        m_admin_http(
            loop,
            AdminHttpLimits(settings),
            [this](HttpExchange& exchange) { m_admin.Serve(exchange); }) {
    m_context.m_links = &m_links;
    m_dispatcher.SetChangeHandler([this] { m_membership.RequestHeartbeat(); });
    m_dispatcher.crash_detector().SetReportHandler(
        [this](const SuspectReport& report) {
          m_links.SendTo(m_membership.control_endpoint(), report);
        });
    if (settings.m_is_control) {
      m_control = std::make_unique<ControlService>(
          m_context.m_settings, loop, m_links,
          [&adapter](const std::string& text) {
            return adapter.m_read_document(text);
          });
    }
    RegisterOperations();
  }

  MembershipHooks MakeMembershipHooks() {
    return {[this] { return DescribeSelf(); },
            [this](const DirectoryDelta& delta) {
              return ApplyMembershipDelta(m_context, delta);
            },
            [this](const ServiceName& service) {
              const auto known = m_context.m_targets_by_service.find(service);
              return known != m_context.m_targets_by_service.end() &&
                     !known->second.empty();
            },
            [this](const ServiceName& service) {
              m_context.m_targets_by_service.erase(service);
            }};
  }

  MemberEntry DescribeSelf() const {
    const Settings& settings = m_context.m_settings;
    MemberEntry member;
    member.m_node = settings.m_node;
    member.m_incarnation = m_context.m_incarnation;
    member.m_peer = ToText(settings.m_peer);
    member.m_failure_domain = settings.m_failure_domain;
    member.m_target = m_dispatcher.Summary();
    if (m_context.m_route_table) {
      member.m_document = m_context.m_route_table->m_document.m_version;
    }
    return member;
  }

  // Ignores messages of policy mode. The transport handles those that belong to
  // calls itself.
  template <typename IgnoredMessage>
  void HandleMessage(LinkId, const IgnoredMessage&) {}

  void HandleMessage(LinkId, const HeartbeatAck& ack) {
    if (m_control) {
      m_control->Handle(ack);
    }
    if (m_context.m_settings.m_is_node) {
      (void)m_membership.Handle(ack);
    }
  }
  void HandleMessage(LinkId, const DirectoryDelta& delta) {
    m_membership.Handle(delta);
  }
  void HandleMessage(LinkId, const DocumentPush& push) { ApplyDocument(push); }
  void HandleMessage(LinkId link, const SuspectReport& report) {
    ForwardToControl(link, report);
    if (m_context.m_settings.m_is_node) {
      m_dispatcher.crash_detector().Handle(report);
    }
  }
  void HandleMessage(LinkId link, const Heartbeat& message) {
    ForwardToControl(link, message);
  }
  void HandleMessage(LinkId link, const HostHeartbeat& message) {
    ForwardToControl(link, message);
  }
  void HandleMessage(LinkId link, const GroupInit& message) {
    ForwardToControl(link, message);
  }
  void HandleMessage(LinkId link, const InstanceQuery& message) {
    ForwardToControl(link, message);
  }
  void HandleMessage(LinkId link, const VoteRequest& message) {
    ForwardToGroup(link, message);
  }
  void HandleMessage(LinkId link, const VoteReply& message) {
    ForwardToGroup(link, message);
  }
  void HandleMessage(LinkId link, const AppendRequest& message) {
    ForwardToGroup(link, message);
  }
  void HandleMessage(LinkId link, const AppendReply& message) {
    ForwardToGroup(link, message);
  }
  void HandleMessage(LinkId link, const SnapshotRequest& message) {
    ForwardToGroup(link, message);
  }

  template <typename Message>
  void ForwardToControl(LinkId link, const Message& message) {
    if (m_control) {
      m_control->Handle(link, message);
    }
  }

  void ForwardToGroup(LinkId link, const RaftMessage& message) {
    if (m_control) {
      m_control->Handle(link, message);
    }
  }

  void ApplyDocument(const DocumentPush& push) {
    const RouteDocument* current_document =
        m_context.m_route_table ? &m_context.m_route_table->m_document
                                : nullptr;
    if (push.m_quorum_ack_age > kMaxPushAckAge) {
      return;
    }
    auto document = ApplyDocumentPush(current_document, push);
    if (!document) {
      return;
    }
    LogLine(LogLevel::kInfo, "document_in_force")
        .With("version", document->m_version.value())
        .With("before",
              current_document ? current_document->m_version.value() : 0)
        .With("routes", static_cast<std::uint64_t>(document->m_routes.size()))
        .With("changed", static_cast<std::uint64_t>(push.m_changed.size()));
    m_context.m_route_table = MakeRouteTable(std::move(*document));
    m_http.SetLimits(CallerHttpLimits(
        m_context.m_settings, m_context.m_route_table->m_document.m_bounds));
    for (const ServiceConfig& service :
         m_context.m_route_table->m_document.m_services) {
      m_membership.AddInterest(service.m_name);
    }
    m_membership.RequestHeartbeat();
  }

  bool IsReady() const {
    return m_context.m_route_table && !m_context.m_leaving &&
           !m_context.m_targets_by_service.empty();
  }

  void RegisterOperations() {
    m_external_service.SetFallback([this](const AdminRequest& request) {
      return m_context.m_adapter.m_serve_external(request,
                                                  MakeExternalOperations());
    });
    m_ready.SetFallback([this](const AdminRequest& request) {
      return m_context.m_adapter.m_serve_readiness(request, IsReady());
    });
    m_admin.Add("GET /metrics", [this](const AdminRequest&) {
      AdminResponse response;
      response.m_content_type = "text/plain; version=0.0.4";
      response.m_body = MetricsText(m_context.m_metrics, ReadGauges());
      return response;
    });
  }

  RelayGauges ReadGauges() const {
    RelayGauges gauges;
    gauges.m_entry_calls = static_cast<double>(m_context.m_entry_calls);
    gauges.m_running = static_cast<double>(m_dispatcher.queue().m_running);
    gauges.m_waiting =
        static_cast<double>(m_dispatcher.queue().m_waiting.size());
    gauges.m_slots = static_cast<double>(m_dispatcher.queue().m_slots);
    if (m_context.m_route_table) {
      gauges.m_document_version = static_cast<double>(
          m_context.m_route_table->m_document.m_version.value());
    }
    gauges.m_members = static_cast<double>(m_context.m_members.size());
    gauges.m_links = static_cast<double>(m_links.links());
    gauges.m_body_bytes = static_cast<double>(m_context.m_body_bytes +
                                              m_context.m_target_body_bytes);
    gauges.m_bytes_between_domains =
        static_cast<double>(m_links.counters().m_bytes_between_domains);
    gauges.m_fibers = static_cast<double>(m_loop.fibers());
    gauges.m_max_fibers = static_cast<double>(m_loop.max_fibers().value_or(0));
    if (m_control) {
      const GroupTolerance tolerance =
          AssessTolerance(m_control->group().raft(), SteadyNow());
      gauges.m_group_voters = static_cast<double>(tolerance.m_voters);
      gauges.m_group_live_voters = static_cast<double>(tolerance.m_live_voters);
      gauges.m_group_losses_borne = static_cast<double>(tolerance.m_losses);
    }
    gauges.m_leads = m_control && m_control->group().is_leader() ? 1 : 0;
    return gauges;
  }

  ExternalOperations MakeExternalOperations() {
    ExternalOperations operations;
    if (m_context.m_settings.m_is_node) {
      operations.m_report = [this](const TargetReport& report) {
        return m_dispatcher.HandleTargetReport(report);
      };
      operations.m_withdraw = [this](const TargetWithdrawal& withdrawal) {
        return m_dispatcher.HandleTargetWithdrawal(withdrawal);
      };
    }
    if (m_control) {
      operations.m_change_document = [this](DocumentChange change) {
        return m_control->documents().Change(std::move(change));
      };
      operations.m_read_document = [this] {
        return m_control->documents().Read();
      };
    }
    return operations;
  }

  std::optional<std::string> Start() {
    const Settings& settings = m_context.m_settings;
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
    listen(m_links, settings.m_peer_bind);
    listen(m_external_http, settings.m_external);
    listen(m_admin_http, settings.m_admin);
    if (settings.m_is_node) {
      listen(m_ready_http, settings.m_ready);
      listen(m_http, settings.m_http);
    }
    if (error || !settings.m_is_node) {
      return error;
    }
    m_loop.Spawn([this] { m_membership.Run(); });
    m_loop.Spawn([this] { m_dispatcher.ProbeUntilKnown(); });
    m_loop.SpawnPeriodic(SlotDispatcher::kTickPeriod,
                         [this] { m_dispatcher.Tick(); });
    m_loop.SpawnPeriodic(kSilentCheckPeriod, [this] {
      AvoidSilentTargets(m_context, m_links.SilentPeers(), SteadyNow());
    });
    m_loop.SpawnPeriodic(kLoadLogPeriod, [this] { LogLoad(); });
    return std::nullopt;
  }

  // Logs slot usage and waiting times, which explain requests that exceeded
  // their deadlines.
  void LogLoad() {
    const SlotQueue& queue = m_dispatcher.queue();
    const LatencyHistogram& wait_times = m_context.m_metrics.m_wait_time;
    const LatencyHistogram& service_times = m_context.m_metrics.m_service_time;
    const LinkCounters& counters = m_links.counters();
    LogLine(LogLevel::kInfo, "target_load")
        .With("running", static_cast<std::uint64_t>(queue.m_running))
        .With("waiting", static_cast<std::uint64_t>(queue.m_waiting.size()))
        .With("slots", static_cast<std::uint64_t>(queue.m_slots))
        .With("mean_wait_ms", m_wait_mean.Next(wait_times))
        .With("mean_service_ms", m_service_mean.Next(service_times))
        .With("pressure", m_dispatcher.failure_rate())
        .With("bytes_between_domains", counters.m_bytes_between_domains)
        .With("long_bytes_between_domains",
              counters.m_long_bytes_between_domains);
  }

  bool HasCallsInFlight() const {
    return m_context.m_entry_calls > 0 || m_dispatcher.calls() > 0 ||
           m_http.HasUnansweredRequests();
  }

  void AwaitIdle(Millis drain_deadline) const {
    while (HasCallsInFlight() && SteadyNow() < drain_deadline) {
      SleepFor(kDrainPoll);
    }
  }

  void DrainAndStop() {
    const Millis drain_deadline =
        SteadyNow() + m_context.m_settings.m_drain_timeout;
    LogLine(LogLevel::kInfo, "draining")
        .With("entry_calls",
              static_cast<std::uint64_t>(m_context.m_entry_calls))
        .With("target_calls", static_cast<std::uint64_t>(m_dispatcher.calls()));
    m_context.m_leaving = true;
    m_context.m_stops_at = drain_deadline;
    if (m_context.m_settings.m_is_node) {
      m_dispatcher.BeginLeaving();
      m_membership.RequestHeartbeat();
      m_http.CloseAfterResponses();
      SleepFor(
          Min(kReadinessNoticePeriod, m_context.m_settings.m_drain_timeout));
      m_http.Drain();
      AwaitIdle(drain_deadline);
    }
    LogLine(LogLevel::kInfo, "drained")
        .With("cut_off", static_cast<std::uint64_t>(m_context.m_entry_calls +
                                                    m_dispatcher.calls()));
    m_external_http.Drain();
    m_ready_http.Drain();
    m_admin_http.Drain();
    m_links.Shutdown();
    const Millis close_deadline = SteadyNow() + kCloseTimeout;
    while (m_links.links() > 0 && SteadyNow() < close_deadline) {
      SleepFor(kDrainPoll);
    }
    m_loop.Stop();
    m_membership.RequestHeartbeat();
  }

  void Reload(const Settings& settings) {
    m_context.m_settings.m_seeds = settings.m_seeds;
    m_context.m_settings.m_repeats = settings.m_repeats;
    m_membership.SetSeeds(settings.m_seeds);
    if (m_control) {
      m_control->reconciler().SetSeeds(settings.m_seeds);
    }
    SetLogLevel(settings.m_log_level);
  }

  FiberLoop& m_loop;
  IntervalMean m_wait_mean;
  IntervalMean m_service_mean;
  RelayContext m_context;
  LinkManager m_links;
  SlotDispatcher m_dispatcher;
  MembershipClient m_membership;
  RequestRouter m_router;
  AdminService m_external_service;
  AdminService m_ready;
  AdminService m_admin;
  HttpServer m_http;
  HttpServer m_external_http;
  HttpServer m_ready_http;
  HttpServer m_admin_http;
  std::unique_ptr<ControlService> m_control;
};

RelayNode::RelayNode(const Settings& settings,
                     const ProtocolAdapter& adapter,
                     FiberLoop& loop)
    : m_state(std::make_unique<State>(settings, adapter, loop)) {}

RelayNode::~RelayNode() = default;

std::optional<std::string> RelayNode::Start() {
  return m_state->Start();
}

void RelayNode::Reload(const Settings& settings) {
  m_state->Reload(settings);
}

void RelayNode::DrainAndStop() {
  m_state->DrainAndStop();
}

}  // namespace hemlockpoint
