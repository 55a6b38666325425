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

/// @brief Maximum number of accepted changes in the history.
inline constexpr std::size_t kMaxHistoryEntries = 1000;
/// @brief Maximum number of change ids whose results are stored. A resend of an
/// older change results in a conflict, since its base revision is outdated.
inline constexpr std::size_t kMaxChangeIds = 1024;
inline constexpr std::size_t kMaxChangeIdBytes = 64;
inline constexpr std::size_t kMaxActorBytes = 64;

/// @brief A change of one section. An empty text removes the section.
struct PolicyChange {
  std::string m_section;
  /// Revision of the section on which the change is based; 0 for a new section.
  Revision m_base;
  /// Chosen by the operator. A resend with the same id is not applied again.
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
  /// The section was changed after the base revision.
  kConflict,
  /// The resulting document is invalid.
  kInvalid,
  /// The token doesn't allow changes of the section.
  kForbidden,
};

/// @brief The result of a change. A resend of the change gets the same result.
struct PolicyChangeResult {
  PolicyChangeStatus m_status = PolicyChangeStatus::kInvalid;
  /// If accepted: revision of the document with the change. After a conflict,
  /// or if invalid: revision of the section in force.
  Revision m_revision;
  /// After a conflict: the last accepted change of the section.
  PolicyHistoryEntry m_winning_change;
  /// Errors of an invalid document.
  std::vector<Finding> m_findings;
};

/// @brief The policy document, its history, and the results of recent changes.
/// Each member of the control group builds it from the log.
struct PolicyStore {
  PolicyDocument m_document;
  std::deque<PolicyHistoryEntry> m_history;
  std::map<std::string, PolicyChangeResult> m_results_by_change_id;
  /// Change ids of the stored results, the oldest first.
  std::deque<std::string> m_change_id_order;
  /// SHA-256 of the token that allows changes of the control group. It also
  /// allows changes of the platform section as long as that section grants
  /// them to no other token.
  std::string m_admin_token_sha256;
};

/// @brief Evaluates a change without applying it.
/// @return The result that the change would have, or the stored result if its
/// id is known.
[[nodiscard]] PolicyChangeResult EvaluatePolicyChange(
    const PolicyStore& store,
    const PolicyChange& change);

/// @brief Applies a change. The result depends only on the store and the
/// change, so it is the same on every member.
PolicyChangeResult ApplyPolicyChange(PolicyStore& store,
                                     const PolicyChange& change);

/// @return The store, encoded for a snapshot.
[[nodiscard]] std::string EncodePolicyStore(const PolicyStore& store);

/// @return The decoded store, or the decoding error.
[[nodiscard]] Result<PolicyStore> DecodePolicyStore(std::string_view bytes);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_POLICY_STORE_H_
