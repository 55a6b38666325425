#ifndef HEMLOCKPOINT_POLICY_STORE_H_
#define HEMLOCKPOINT_POLICY_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "hemlockpoint/base/findings.h"
#include "hemlockpoint/base/ids.h"
#include "hemlockpoint/base/result.h"
#include "hemlockpoint/policy/policy.h"

namespace hemlockpoint {

/// @brief Accepted changes that the history shows at most.
inline constexpr std::size_t kMaxHistoryEntries = 1000;
/// @brief Change ids whose first answer is remembered at most. A resend of an
/// older change is answered by its outdated base revision.
inline constexpr std::size_t kMaxChangeIds = 1024;
inline constexpr std::size_t kMaxChangeIdBytes = 64;
inline constexpr std::size_t kMaxActorBytes = 64;

/// @brief A change of one section. An empty text removes the section.
struct PolicyChange {
  std::string m_section;
  /// Revision of the section that the change started from; 0 for a new one.
  Revision m_base;
  std::string m_change_id;
  std::string m_actor;
  std::string m_token_sha256;
  std::string m_text;
  double m_unix_ms = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("section", self.m_section);
    visit("base", self.m_base);
    visit("id", self.m_change_id);
    visit("actor", self.m_actor);
    visit("token", self.m_token_sha256);
    visit("text", self.m_text);
    visit("ms", self.m_unix_ms);
  }
};

/// @brief One accepted change.
struct PolicyHistoryEntry {
  Revision m_revision;
  std::string m_section;
  std::string m_change_id;
  std::string m_actor;
  double m_unix_ms = 0;

  template <typename Self, typename Visitor>
  static void Visit(Self& self, Visitor& visit) {
    visit("rev", self.m_revision);
    visit("section", self.m_section);
    visit("id", self.m_change_id);
    visit("actor", self.m_actor);
    visit("ms", self.m_unix_ms);
  }
};

enum class PolicyChangeStatus : unsigned char {
  kAccepted,
  /// The section has changed since the base revision.
  kConflict,
  /// The resulting document has faults.
  kInvalid,
  /// The token may not change the section.
  kForbidden,
};

/// @brief The answer to a change; a resend gets the same one.
struct PolicyChangeResult {
  PolicyChangeStatus m_status = PolicyChangeStatus::kInvalid;
  /// Revision of the document with the change, or of the section in force.
  Revision m_revision;
  /// With a conflict: the change that went first.
  PolicyHistoryEntry m_winning_change;
  std::vector<Finding> m_findings;
};

/// @brief The policy document with its past, as every member of the control
/// group builds it from the log.
struct PolicyStore {
  PolicyDocument m_document;
  std::deque<PolicyHistoryEntry> m_history;
  std::map<std::string, PolicyChangeResult> m_results_by_change_id;
  /// Change ids, the oldest first.
  std::deque<std::string> m_order;
  /// SHA-256 of the token that may change the platform section until that
  /// section names another, and may always change the group.
  std::string m_admin_token_sha256;
};

/// @brief Checks a change without applying it.
[[nodiscard]] PolicyChangeResult EvaluatePolicyChange(
    const PolicyStore& store,
    const PolicyChange& change);

/// @brief Applies a change; the same on every member, because it depends on
/// the store and the change alone.
PolicyChangeResult ApplyPolicyChange(PolicyStore& store,
                                     const PolicyChange& change);

/// @return The store as bytes for a snapshot.
[[nodiscard]] std::string EncodePolicyStore(const PolicyStore& store);

/// @return The store, or what is wrong with the bytes.
[[nodiscard]] Result<PolicyStore> DecodePolicyStore(std::string_view bytes);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_POLICY_STORE_H_
