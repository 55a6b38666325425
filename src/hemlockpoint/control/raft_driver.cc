#include "hemlockpoint/control/raft_driver.h"

#include <array>
#include <boost/asio/post.hpp>
#include <cinttypes>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <utility>

#include "hemlockpoint/log/log.h"
#include "hemlockpoint/runtime/await.h"

namespace hemlockpoint {

namespace {

constexpr Millis kRaftTickPeriod(20);
constexpr std::size_t kCompactAfterEntries = 256;
constexpr std::size_t kCompactAfterBytes = std::size_t{1024} * 1024;
constexpr int kExitDiskFailed = 1;

std::uint64_t ReadRandomNumber() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

}  // namespace

std::string MakeRandomId() {
  std::array<char, 20> text{};
  std::snprintf(text.data(), text.size(), "%016" PRIx64, ReadRandomNumber());
  return text.data();
}

RaftDriver::RaftDriver(const Settings& settings,
                       FiberLoop& loop,
                       LinkManager& links,
                       StateMachineCallbacks consumer)
    : m_settings(settings),
      m_loop(loop),
      m_links(links),
      m_state_machine(std::move(consumer)),
      m_random_state(ReadRandomNumber()) {}

RaftDriver::~RaftDriver() {
  m_disk_thread.join();
}

std::optional<std::string> RaftDriver::Start() {
  auto folder = DataFolder::Open(m_settings.m_data_folder, MakeRandomId());
  if (!folder) {
    return folder.reason();
  }
  m_folder = std::move(*folder);
  const StoredRaftState& stored = m_folder->stored();
  if (stored.m_torn_bytes > 0) {
    LogLine(LogLevel::kWarning, "journal_tail_cut")
        .With("bytes", static_cast<std::uint64_t>(stored.m_torn_bytes));
  }
  m_raft.m_instance = stored.m_instance;
  m_raft.m_hard = stored.m_hard;
  m_raft.m_log = stored.m_log;
  StartRaft(m_raft, Random(), SteadyNow());
  if (m_raft.m_log.m_snapshot.m_index > 0) {
    m_state_machine.m_restore(m_raft.m_log.m_snapshot.m_data);
  }
  m_loop.Spawn([this] { RunStepLoop(); });
  return std::nullopt;
}

void RaftDriver::Receive(LinkId link, RaftMessage message) {
  std::visit(
      [&](const auto& value) {
        m_reply_links[value.m_header.m_from_instance] = link;
      },
      message);
  // Former instances would pile up over the years.
  constexpr std::size_t kMaxReplyLinks = 64;
  if (m_reply_links.size() > kMaxReplyLinks) {
    m_reply_links.clear();
  }
  Enqueue([this, message = std::move(message)](RaftOutput& output) {
    HandleRaftMessage(m_raft, message, Random(), SteadyNow(), output);
  });
}

bool RaftDriver::Init(const GroupConfig& config) {
  if (IsInGroup(m_raft)) {
    return m_raft.m_config.m_config.m_group_id == config.m_group_id;
  }
  Enqueue([this, config](RaftOutput& output) {
    (void)InitGroup(m_raft, config, output);
  });
  return true;
}

Result<std::uint64_t> RaftDriver::Commit(LogEntryKind kind,
                                         const std::string& data,
                                         Millis until) {
  using IndexResult = Result<std::uint64_t>;
  struct ProposalState {
    bool m_tried = false;
    std::optional<std::uint64_t> m_index;
    std::uint64_t m_term = 0;
  };
  // The step may still be queued when this wait is given up.
  auto proposal = std::make_shared<ProposalState>();
  Enqueue([this, kind, data, proposal](RaftOutput& output) {
    proposal->m_index = Propose(m_raft, kind, data, SteadyNow(), output);
    proposal->m_term = m_raft.m_hard.m_term;
    proposal->m_tried = true;
    m_progress_event.Notify();
  });
  if (!m_progress_event.WaitUntil(until, [&] { return proposal->m_tried; })) {
    return IndexResult::Failure("the disk is slow");
  }
  const std::optional<std::uint64_t> index = proposal->m_index;
  if (!index) {
    return IndexResult::Failure("not the leader, or members are changing");
  }
  const std::uint64_t term = proposal->m_term;
  const bool done = m_progress_event.WaitUntil(until, [&] {
    return m_consumed >= *index || m_raft.m_hard.m_term != term;
  });
  if (!done || m_raft.m_hard.m_term != term) {
    return IndexResult::Failure("leadership was lost or no majority answered");
  }
  return *index;
}

bool RaftDriver::ConfirmLeadership(Millis until) {
  auto round = std::make_shared<std::uint64_t>(0);
  Enqueue([this, round](RaftOutput& output) {
    *round = StartHeartbeatRound(m_raft, SteadyNow(), output);
  });
  return m_progress_event.WaitUntil(until, [&] {
    return *round != 0 && IsRoundAckedByQuorum(m_raft, *round);
  });
}

const GroupMember* RaftDriver::leader() const {
  return FindMemberByInstance(m_raft.m_config.m_config, m_raft.m_leader);
}

std::size_t RaftDriver::journal_bytes() const {
  return m_folder ? m_folder->journal_bytes() : 0;
}

void RaftDriver::Enqueue(RaftStep step) {
  m_queued_steps.push_back(std::move(step));
  m_work.Notify();
}

void RaftDriver::RunStepLoop() {
  while (!m_loop.stopping()) {
    (void)m_work.WaitUntil(SteadyNow() + kRaftTickPeriod,
                           [this] { return !m_queued_steps.empty(); });
    std::vector<RaftStep> steps;
    steps.swap(m_queued_steps);
    RaftOutput output;
    TickRaft(m_raft, Random(), SteadyNow(), output);
    for (const RaftStep& step : steps) {
      step(output);
    }
    CompactLogIfLarge(output);
    if (const auto failure = Sync(output.m_writes)) {
      // What can't be synced may not be acknowledged, and the file's end is
      // not known any more.
      LogLine(LogLevel::kError, "disk_failed").With("reason", *failure);
      StopLog();
      std::_Exit(kExitDiskFailed);
    }
    SendMessages(output.m_outgoing);
    Apply(output);
    m_progress_event.Notify();
  }
}

std::optional<std::string> RaftDriver::Sync(
    const std::vector<RaftWrite>& writes) {
  std::optional<std::string> failure;
  if (writes.empty()) {
    return failure;
  }
  (void)AwaitIo([&](auto handler) {
    boost::asio::post(m_disk_thread, [&,
                                      handler = std::move(handler)]() mutable {
      failure = m_folder->Write(writes);
      boost::asio::post(m_loop.io(), [handler = std::move(handler)]() mutable {
        handler(boost::system::error_code(), 0);
      });
    });
  });
  return failure;
}

void RaftDriver::SendMessages(const std::vector<RaftEnvelope>& envelopes) {
  for (const RaftEnvelope& envelope : envelopes) {
    const Message message = std::visit(
        [](const auto& value) { return Message(value); }, envelope.m_message);
    const Result<Endpoint> endpoint = ParseEndpoint(envelope.m_to.m_peer);
    if (endpoint) {
      m_links.SendTo(*endpoint, message);
      continue;
    }
    const auto link = m_reply_links.find(envelope.m_to.m_instance);
    if (link != m_reply_links.end()) {
      m_links.Send(link->second, message);
    }
  }
}

void RaftDriver::Apply(const RaftOutput& output) {
  if (output.m_restore) {
    m_state_machine.m_restore(output.m_restore->m_data);
    m_consumed = output.m_restore->m_index;
  }
  for (const LogEntry& entry : output.m_committed) {
    m_state_machine.m_apply(entry);
    m_consumed = entry.m_index;
  }
}

// The snapshot must not hold entries that this step has committed but the
// consumer has not applied yet.
void RaftDriver::CompactLogIfLarge(RaftOutput& output) {
  const bool long_log = m_raft.m_log.m_entries.size() > kCompactAfterEntries ||
                        m_folder->journal_bytes() > kCompactAfterBytes;
  const bool applied_all = output.m_committed.empty() && !output.m_restore;
  if (long_log && applied_all &&
      m_raft.m_applied > m_raft.m_log.m_snapshot.m_index) {
    CompactLog(m_raft, m_state_machine.m_snapshot(), output);
  }
}

double RaftDriver::Random() {
  // SplitMix64 (Steele, Lea and Flood, 2014) is enough to spread timers.
  m_random_state += 0x9e3779b97f4a7c15;
  std::uint64_t z = m_random_state;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return static_cast<double>((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
}

}  // namespace hemlockpoint
