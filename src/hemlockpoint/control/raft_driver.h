#ifndef HEMLOCKPOINT_CONTROL_RAFT_DRIVER_H_
#define HEMLOCKPOINT_CONTROL_RAFT_DRIVER_H_

#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "hemlockpoint/config/settings.h"
#include "hemlockpoint/consensus/raft.h"
#include "hemlockpoint/runtime/fiber_event.h"
#include "hemlockpoint/runtime/fiber_loop.h"
#include "hemlockpoint/storage/data_folder.h"
#include "hemlockpoint/transport/link_manager.h"

namespace hemlockpoint {

/// @brief Callbacks of the state machine to which committed log entries are
/// applied.
struct StateMachineCallbacks {
  std::function<void(const LogEntry&)> m_apply;
  std::function<void(const std::string& snapshot)> m_restore;
  std::function<std::string()> m_snapshot;
};

/// @brief Runs one Raft member of the control group. The rules in
/// consensus/raft.h do no I/O: this class gives them the time and the messages
/// received, writes and syncs their output on a separate thread, and only then
/// sends messages and applies committed entries.
class RaftDriver {
 public:
  RaftDriver(const Settings& settings,
             FiberLoop& loop,
             LinkManager& links,
             StateMachineCallbacks state_machine);
  ~RaftDriver();
  RaftDriver(const RaftDriver&) = delete;
  RaftDriver& operator=(const RaftDriver&) = delete;

  /// @brief Opens the data folder and restores the state machine from its
  /// snapshot.
  /// @return The error, or nothing on success.
  [[nodiscard]] std::optional<std::string> Start();

  /// @param link The link on which the message arrived.
  void Receive(LinkId link, RaftMessage message);

  /// @brief Starts the initial configuration of a new group on this host.
  /// @return False if the host is already a member of another group.
  bool Init(const GroupConfig& config);

  /// @brief Appends an entry to the log and waits until this host has applied
  /// it. Must run on a fiber.
  /// @return Index of the entry, or why it wasn't applied by the deadline.
  /// After a failure the entry may still be committed later.
  [[nodiscard]] Result<std::uint64_t> Commit(LogEntryKind kind,
                                             const std::string& data,
                                             Millis deadline);

  /// @brief Waits until a majority has confirmed that this member is the
  /// leader. Must run on a fiber.
  /// @return Whether a majority confirmed it by the deadline.
  [[nodiscard]] bool ConfirmLeadership(Millis deadline);

  /// @return Whether this member is the leader and has committed an entry of
  /// its term, so that it knows every entry committed before.
  [[nodiscard]] bool is_leader() const { return IsEstablishedLeader(m_raft); }
  [[nodiscard]] const RaftState& raft() const { return m_raft; }
  /// @return The leader's member entry, or null when no leader is known.
  [[nodiscard]] const GroupMember* leader() const { return FindLeader(m_raft); }
  /// @return Size of the journal; 0 before Start().
  [[nodiscard]] std::size_t journal_bytes() const;

 private:
  // A call of a Raft rule, which adds what must be written and sent.
  using RaftStep = std::function<void(RaftOutput&)>;

  void Enqueue(RaftStep step);
  void RunStepLoop();
  std::optional<std::string> WriteAndSync(const std::vector<RaftWrite>& writes);
  void SendMessages(const std::vector<RaftEnvelope>& envelopes);
  void ApplyOutput(const RaftOutput& output);
  void CompactLogIfLarge(RaftOutput& output);
  // A number in [0, 1).
  double Random();

  const Settings& m_settings;
  FiberLoop& m_loop;
  LinkManager& m_links;
  StateMachineCallbacks m_state_machine;
  std::unique_ptr<DataFolder> m_folder;
  boost::asio::thread_pool m_disk_thread{1};
  RaftState m_raft;
  std::vector<RaftStep> m_queued_steps;
  FiberEvent m_step_queued;
  FiberEvent m_step_completed;
  /// Index of the last entry that the state machine has applied.
  std::uint64_t m_applied_index = 0;
  /// By instance: the link of the last message. A peer that isn't in the
  /// configuration of this host has no known endpoint, and is replied to on it.
  std::map<std::string, LinkId> m_reply_links;
  std::uint64_t m_random_state;
};

/// @return 64 random bits as hexadecimal digits, for use as a unique id.
[[nodiscard]] std::string MakeRandomId();

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONTROL_RAFT_DRIVER_H_
