#include "hemlockpoint/policy/store.h"

#include <algorithm>
#include <utility>

#include "hemlockpoint/wire/fields_codec.h"
#include "hemlockpoint/wire/policy_messages.h"

namespace hemlockpoint {

namespace {

// The structures below define how the store is encoded in a snapshot.
struct StoredFinding {
  std::string m_source;
  std::uint64_t m_line = 0;
  std::uint64_t m_column = 0;
  std::string m_text;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("source", self.m_source);
    visit("line", self.m_line);
    visit("column", self.m_column);
    visit("text", self.m_text);
  }
};

struct StoredPolicyChangeResult {
  std::string m_id;
  std::uint64_t m_status = 0;
  Revision m_revision;
  PolicyHistoryEntry m_winning_change;
  std::vector<StoredFinding> m_findings;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("id", self.m_id);
    visit("status", self.m_status);
    visit("rev", self.m_revision);
    visit("winner", self.m_winning_change);
    visit("findings", self.m_findings);
  }
};

struct StoredPolicyState {
  Revision m_revision;
  std::string m_admin;
  std::vector<SectionUpdate> m_sections;
  std::vector<PolicyHistoryEntry> m_history;
  std::vector<StoredPolicyChangeResult> m_change_results;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("rev", self.m_revision);
    visit("admin", self.m_admin);
    visit("sections", self.m_sections);
    visit("history", self.m_history);
    visit("results", self.m_change_results);
  }
};

// Limits the findings that are stored with one result, so that snapshots stay
// small.
constexpr std::size_t kMaxStoredFindings = 5;

Revision SectionRevision(const PolicyStore& store, const std::string& section) {
  const auto found = store.m_document.m_sections.find(section);
  return found == store.m_document.m_sections.end() ? Revision()
                                                    : found->second.m_revision;
}

// The digest of the token that allows changes of a section under the document
// in force; empty if there is none.
std::string SectionTokenDigest(const PolicyStore& store,
                               const std::string& section) {
  Findings unused_findings;
  const Policy policy = CompilePolicy(store.m_document, unused_findings);
  const auto grant = policy.m_sections.find(section);
  if (grant != policy.m_sections.end()) {
    return grant->second.m_token_sha256;
  }
  return section == kPlatformSection ? store.m_admin_token_sha256 : "";
}

PolicyHistoryEntry FindLastChange(const PolicyStore& store,
                                  const std::string& section) {
  for (auto entry = store.m_history.rbegin(); entry != store.m_history.rend();
       ++entry) {
    if (entry->m_section == section) {
      return *entry;
    }
  }
  return {};
}

PolicyDocument MakeChangedDocument(const PolicyStore& store,
                                   const PolicyChange& change) {
  PolicyDocument document = store.m_document;
  document.m_revision = Revision(document.m_revision.value() + 1);
  if (change.m_text.empty()) {
    document.m_sections.erase(change.m_section);
  } else {
    document.m_sections[change.m_section] = {document.m_revision,
                                             change.m_text};
  }
  return document;
}

void RecordResult(PolicyStore& store,
                  const std::string& id,
                  const PolicyChangeResult& result) {
  store.m_results_by_change_id[id] = result;
  store.m_change_id_order.push_back(id);
  while (store.m_change_id_order.size() > kMaxChangeIds) {
    store.m_results_by_change_id.erase(store.m_change_id_order.front());
    store.m_change_id_order.pop_front();
  }
}

StoredPolicyChangeResult ToStoredResult(const std::string& id,
                                        const PolicyChangeResult& result) {
  StoredPolicyChangeResult stored;
  stored.m_id = id;
  stored.m_status = static_cast<std::uint64_t>(result.m_status);
  stored.m_revision = result.m_revision;
  stored.m_winning_change = result.m_winning_change;
  for (const Finding& finding : result.m_findings) {
    stored.m_findings.push_back({finding.m_location.m_source,
                                 finding.m_location.m_line,
                                 finding.m_location.m_column, finding.m_text});
  }
  return stored;
}

PolicyChangeResult FromStoredResult(const StoredPolicyChangeResult& stored) {
  PolicyChangeResult result;
  result.m_status = static_cast<PolicyChangeStatus>(
      std::min<std::uint64_t>(stored.m_status, 3));
  result.m_revision = stored.m_revision;
  result.m_winning_change = stored.m_winning_change;
  for (const StoredFinding& finding : stored.m_findings) {
    result.m_findings.push_back(
        {{finding.m_source, static_cast<std::uint32_t>(finding.m_line),
          static_cast<std::uint32_t>(finding.m_column)},
         finding.m_text});
  }
  return result;
}

}  // namespace

PolicyChangeResult EvaluatePolicyChange(const PolicyStore& store,
                                        const PolicyChange& change) {
  const auto known = store.m_results_by_change_id.find(change.m_change_id);
  if (known != store.m_results_by_change_id.end()) {
    return known->second;
  }
  PolicyChangeResult result;
  const std::string token = SectionTokenDigest(store, change.m_section);
  if (token.empty() || token != change.m_token_sha256) {
    result.m_status = PolicyChangeStatus::kForbidden;
    return result;
  }
  const Revision current = SectionRevision(store, change.m_section);
  if (current != change.m_base) {
    result.m_status = PolicyChangeStatus::kConflict;
    result.m_revision = current;
    result.m_winning_change = FindLastChange(store, change.m_section);
    return result;
  }
  const PolicyDocument document = MakeChangedDocument(store, change);
  Findings findings;
  (void)CompilePolicy(document, findings);
  result.m_findings = findings.items();
  const bool is_valid = findings.empty();
  result.m_status =
      is_valid ? PolicyChangeStatus::kAccepted : PolicyChangeStatus::kInvalid;
  result.m_revision = is_valid ? document.m_revision : current;
  return result;
}

PolicyChangeResult ApplyPolicyChange(PolicyStore& store,
                                     const PolicyChange& change) {
  if (store.m_results_by_change_id.count(change.m_change_id) != 0) {
    return store.m_results_by_change_id[change.m_change_id];
  }
  PolicyChangeResult result = EvaluatePolicyChange(store, change);
  if (result.m_findings.size() > kMaxStoredFindings) {
    result.m_findings.resize(kMaxStoredFindings);
  }
  // A forbidden change is not recorded: otherwise a sender without the right
  // token could use up a change id that the section's owner has chosen.
  if (result.m_status == PolicyChangeStatus::kForbidden) {
    return result;
  }
  if (result.m_status == PolicyChangeStatus::kAccepted) {
    store.m_document = MakeChangedDocument(store, change);
    store.m_history.push_back({result.m_revision, change.m_section,
                               change.m_change_id, change.m_actor,
                               change.m_unix_ms});
    if (store.m_history.size() > kMaxHistoryEntries) {
      store.m_history.pop_front();
    }
  }
  RecordResult(store, change.m_change_id, result);
  return result;
}

std::string EncodePolicyStore(const PolicyStore& store) {
  StoredPolicyState stored;
  stored.m_revision = store.m_document.m_revision;
  stored.m_admin = store.m_admin_token_sha256;
  for (const auto& [name, section] : store.m_document.m_sections) {
    stored.m_sections.push_back({name, section.m_revision, section.m_text});
  }
  stored.m_history.assign(store.m_history.begin(), store.m_history.end());
  for (const std::string& id : store.m_change_id_order) {
    stored.m_change_results.push_back(
        ToStoredResult(id, store.m_results_by_change_id.at(id)));
  }
  return EncodeFields(stored);
}

Result<PolicyStore> DecodePolicyStore(std::string_view bytes) {
  const auto stored = DecodeFields<StoredPolicyState>(bytes);
  if (!stored) {
    return Result<PolicyStore>::Failure(stored.reason());
  }
  PolicyStore store;
  store.m_document.m_revision = stored->m_revision;
  store.m_admin_token_sha256 = stored->m_admin;
  for (const SectionUpdate& section : stored->m_sections) {
    store.m_document.m_sections[section.m_name] = {section.m_revision,
                                                   section.m_text};
  }
  store.m_history.assign(stored->m_history.begin(), stored->m_history.end());
  for (const StoredPolicyChangeResult& result : stored->m_change_results) {
    RecordResult(store, result.m_id, FromStoredResult(result));
  }
  return store;
}

}  // namespace hemlockpoint
