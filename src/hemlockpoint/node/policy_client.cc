#include "hemlockpoint/node/policy_client.h"

#include <algorithm>
#include <utility>

#include "hemlockpoint/log/log.h"

namespace hemlockpoint {

namespace {

// Maximum age of the quorum ack of a push.
constexpr Millis kMaxPushQuorumAckAge(2000);

}  // namespace

std::optional<PolicyDocument> ApplyPush(const PolicyDocument& current,
                                        const PolicyPush& push) {
  const bool has_base =
      push.m_since == Revision() || !(current.m_revision < push.m_since);
  const bool is_newer = current.m_revision < push.m_revision;
  if (!has_base || !is_newer || push.m_quorum_ack_age > kMaxPushQuorumAckAge) {
    return std::nullopt;
  }
  PolicyDocument document;
  if (push.m_since != Revision()) {
    document = current;
  }
  document.m_revision = push.m_revision;
  for (const std::string& name : push.m_removed) {
    document.m_sections.erase(name);
  }
  for (const SectionUpdate& section : push.m_changed) {
    document.m_sections[section.m_name] = {section.m_revision, section.m_text};
  }
  return document;
}

bool PolicyClient::Handle(const PolicyPush& push) {
  auto document = ApplyPush(m_context.m_document, push);
  if (!document) {
    return false;
  }
  Findings findings;
  auto policy = std::make_shared<Policy>(CompilePolicy(*document, findings));
  if (!findings.empty()) {
    // The control group has validated every document, so findings mean that
    // this one is incomplete. The control group will send the whole document.
    LogLine(LogLevel::kError, "policy_rejected")
        .With("revision", document->m_revision.value())
        .With("findings", findings.ToText());
    return false;
  }
  m_context.m_document = std::move(*document);
  m_context.m_entry.m_policy = std::move(policy);
  m_context.m_is_policy_known = true;
  LogLine(LogLevel::kInfo, "policy_in_force")
      .With("revision", m_context.m_document.m_revision.value());
  return true;
}

void PolicyClient::Handle(const SuspectReport& report) {
  const Millis now = SteadyNow();
  QuarantineTable& table = m_context.m_entry.m_quarantine;
  for (const SuspectRow& row : report.m_rows) {
    if (row.m_state > 1) {
      RemoveSuspectEntry(table, row.m_fingerprint);
      continue;
    }
    const SuspectState state =
        row.m_state == 1 ? SuspectState::kQuarantined : SuspectState::kSuspect;
    MergeSuspectEntry(table, row.m_fingerprint,
                      {state, now + Min(row.m_time_left, kQuarantineDuration)});
  }
}

}  // namespace hemlockpoint
