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

/// @brief What an operator asked of the control group, as it turned out.
struct PolicyChangeOutcome {
  enum class Kind {
    kAnswered,
    /// This host doesn't lead; ask the leader.
    kNotLeader,
    /// It is not known whether the change was committed; resend its id.
    kUnknown,
  };
  Kind m_kind = Kind::kAnswered;
  PolicyChangeResult m_result;
  std::string m_reason;
};

/// @brief The control role of one process: a member of the control group that
/// keeps the policy document and, while it leads, the directory of members.
class ControlService {
 public:
  /// @param reader Reads route documents; null where none are served.
  ControlService(const Settings& settings,
                 FiberLoop& loop,
                 LinkManager& links,
                 DocumentParser reader = nullptr);

  /// @brief Opens the data folder and starts the periodic work.
  /// @return Why the process cannot run, or nothing.
  [[nodiscard]] std::optional<std::string> Start();

  void Handle(LinkId link, const Heartbeat& heartbeat);
  void Handle(LinkId link, const GroupInit& init);
  void Handle(LinkId link, const InstanceQuery& query);
  void Handle(LinkId link, const SuspectReport& report);
  void Handle(LinkId link, const HostHeartbeat& beat);
  /// @brief Takes in the answer to this host's own beat.
  void Handle(const HeartbeatAck& ack);
  void Handle(LinkId link, RaftMessage message);
  void OnLinkClosed(LinkId link);

  /// @brief Commits a change of the policy document; used on a fiber.
  [[nodiscard]] PolicyChangeOutcome Change(const PolicyChange& change);

  /// @brief Forms a new group of all control hosts that the settings name;
  /// used on a fiber.
  /// @return Why there is none, or nothing.
  [[nodiscard]] std::optional<std::string> InitGroup(
      const std::string& admin_token_sha256);

  /// @brief Adds a host as a receiver of the log; it counts in majorities
  /// once it has caught up. Used on a fiber.
  [[nodiscard]] std::optional<std::string> AddHost(const NodeId& node,
                                                   const Endpoint& peer);

  /// @brief Removes a host from the group; used on a fiber.
  [[nodiscard]] std::optional<std::string> RemoveHost(const NodeId& node);

  /// @brief Ends a request's quarantine at every node.
  /// @return Whether there was one.
  bool LiftQuarantine(Fingerprint request);

  /// @return Whether this host has just proved that it leads; used on a fiber.
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
  // What a node that sends heartbeats here has been sent.
  struct Node {
    Subscriber m_subscriber;
    NodeId m_name;
    Revision m_revision;
    Revision m_last_sent_revision;
    Millis m_policy_sent_at{-1e12};
    std::uint64_t m_sent_claim_sets_version = 0;
    DocumentVersion m_document;
    DocumentVersion m_last_sent_document;
    Millis m_document_sent_at{-1e12};
    std::size_t m_document_resends = 0;
  };

  void Tick();
  void HandleRoleChange();
  void PushDirectory(LinkId link, Node& node, Millis now);
  void PushPolicy(LinkId link, Node& node, Millis now);
  void PushClaimSets(LinkId link, Node& node);
  void PushDocument(LinkId link, Node& node, Millis now);
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
  /// Route mode: crashes that all nodes have seen.
  CrashCounts m_crashes;
  std::map<LinkId, Node> m_nodes;
  bool m_was_leader = false;
  std::uint64_t m_claim_sets_version = 1;
  std::map<NodeId, Millis> m_absent_since;
  Millis m_next_claim_plan_at;
  Millis m_next_group_init_at;
  bool m_is_planning_claims = false;
  /// Answers to instance queries by the admin endpoint's host.
  std::map<LinkId, InstanceQuery> m_instance_replies;
  FiberEvent m_instance_reply_received;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_CONTROL_SERVICE_H_
