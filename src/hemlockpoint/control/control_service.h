#ifndef HEMLOCKPOINT_CONTROL_CONTROL_SERVICE_H_
#define HEMLOCKPOINT_CONTROL_CONTROL_SERVICE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>

#include "hemlockpoint/claims/planner.h"
#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/control/document_service.h"
#include "hemlockpoint/control/group_reconciler.h"
#include "hemlockpoint/control/raft_driver.h"
#include "hemlockpoint/control/replicated_state.h"
#include "hemlockpoint/membership/directory.h"
#include "hemlockpoint/quarantine/crash_counts.h"
#include "hemlockpoint/quarantine/quarantine.h"
#include "hemlockpoint/runtime/fiber_loop.h"
#include "hemlockpoint/transport/link_manager.h"

namespace hemlockpoint {

/// @brief The outcome of a policy change that an operator requested.
struct PolicyChangeOutcome {
  enum class Kind {
    /// m_result holds the result, which may be a rejection.
    kEvaluated,
    /// This host isn't the leader; the change must be sent to the leader.
    kNotLeader,
    /// It is unknown whether the change was committed. The caller can resend it
    /// with the same change id.
    kUnknown,
  };
  Kind m_kind = Kind::kEvaluated;
  PolicyChangeResult m_result;
  std::string m_reason;
};

/// @brief The control role of one process. It is a member of the control group,
/// which replicates the policy document, the route document and the claim
/// replica sets. The leader also keeps the member directory, and pushes all of
/// these to the nodes that send it heartbeats.
class ControlService {
 public:
  /// @param parse_document Parses route documents; null when the process serves
  /// none.
  ControlService(const Settings& settings,
                 FiberLoop& loop,
                 LinkManager& links,
                 DocumentParser parse_document = nullptr);

  /// @brief Opens the data folder and starts the periodic tasks.
  /// @return The error, or nothing on success.
  [[nodiscard]] std::optional<std::string> Start();

  void Handle(LinkId link, const Heartbeat& heartbeat);
  void Handle(LinkId link, const GroupInit& init);
  void Handle(LinkId link, const InstanceQuery& query);
  void Handle(LinkId link, const SuspectReport& report);
  void Handle(LinkId link, const HostHeartbeat& heartbeat);
  /// @brief Handles the reply to this host's own heartbeat.
  void Handle(const HeartbeatAck& ack);
  void Handle(LinkId link, RaftMessage message);
  void OnLinkClosed(LinkId link);

  /// @brief Commits a change of the policy document. Must run on a fiber.
  [[nodiscard]] PolicyChangeOutcome Change(const PolicyChange& change);

  /// @brief Forms a new group of all control hosts in the settings. Must run on
  /// a fiber.
  /// @return The error, or nothing on success.
  [[nodiscard]] std::optional<std::string> InitGroup(
      const std::string& admin_token_sha256);

  /// @brief Adds a host as a learner. It becomes a voter once it has caught up
  /// with the log. Must run on a fiber.
  /// @return The error, or nothing on success.
  [[nodiscard]] std::optional<std::string> AddHost(const NodeId& node,
                                                   const Endpoint& peer);

  /// @brief Removes a host from the group. Must run on a fiber.
  /// @return The error, or nothing on success.
  [[nodiscard]] std::optional<std::string> RemoveHost(const NodeId& node);

  /// @brief Ends the quarantine of a request at every node.
  /// @return Whether this host had an entry for the request.
  bool LiftQuarantine(Fingerprint request);

  /// @brief Asks a majority to confirm that this host is the leader. Must run
  /// on a fiber.
  /// @return Whether a majority confirmed it within the timeout.
  [[nodiscard]] bool ConfirmLeadership();

  [[nodiscard]] DocumentService& documents() { return m_documents; }
  [[nodiscard]] GroupReconciler& reconciler() { return m_reconciler; }
  [[nodiscard]] const RaftDriver& group() const { return m_group; }
  [[nodiscard]] const ReplicatedState& state() const { return m_state; }
  [[nodiscard]] const Directory& directory() const { return m_directory; }
  [[nodiscard]] const QuarantineTable& quarantine() const {
    return m_quarantine;
  }

 private:
  // A node that sends heartbeats to this leader: the versions that it reported
  // last, and those that it was sent.
  struct NodeState {
    Subscriber m_subscriber;
    NodeId m_node_id;
    Revision m_revision;
    Revision m_last_sent_revision;
    Millis m_policy_sent_at{-1e12};
    std::uint64_t m_sent_claim_sets_version = 0;
    DocumentVersion m_document_version;
    DocumentVersion m_last_sent_document;
    Millis m_document_sent_at{-1e12};
    std::size_t m_document_resends = 0;
  };

  void Tick();
  void FollowLeadership();
  void PushState(LinkId link, NodeState& node, Millis now);
  void PushDirectory(LinkId link, NodeState& node, Millis now);
  void PushPolicy(LinkId link, NodeState& node, Millis now);
  void PushClaimSets(LinkId link, NodeState& node);
  void PushDocument(LinkId link, NodeState& node, Millis now);
  HeartbeatAck MakeAck(Millis now) const;
  void PushSuspects(const std::vector<SuspectRow>& rows);
  void AddReportedCrashes(const SuspectReport& report);
  [[nodiscard]] std::vector<SuspectRow> CollectSuspects(Millis now) const;
  void PlanClaims(Millis now);
  void ResendGroupInit(Millis now);
  std::optional<InstanceQuery> QueryInstance(const Endpoint& peer);
  std::optional<std::string> CommitConfig(const GroupConfig& config);

  const Settings& m_settings;
  FiberLoop& m_loop;
  LinkManager& m_links;
  ReplicatedState m_state;
  RaftDriver m_group;
  DocumentService m_documents;
  GroupReconciler m_reconciler;
  Directory m_directory;
  QuarantineTable m_quarantine;
  /// Used in route mode only: the crashes reported by all nodes.
  CrashCounts m_crash_counts;
  std::map<LinkId, NodeState> m_nodes;
  /// Term for which m_directory was started; empty while not the leader.
  std::optional<std::uint64_t> m_leading_term;
  std::uint64_t m_claim_sets_version = 1;
  std::map<NodeId, Millis> m_absent_since;
  Millis m_next_claim_plan_at;
  Millis m_next_group_init_at;
  bool m_is_planning_claims = false;
  /// Replies to instance queries, by the link on which they came.
  std::map<LinkId, InstanceQuery> m_instance_replies;
  FiberEvent m_instance_reply_received;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_CONTROL_SERVICE_H_
