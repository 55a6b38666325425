#include "hemlockpoint/node/control_operations.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "hemlockpoint/http/heads.h"
#include "hemlockpoint/node/status.h"

namespace hemlockpoint {

namespace {

using nlohmann::ordered_json;

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kForbidden = 403;
constexpr unsigned kConflict = 409;
// Misdirected Request (RFC 9110, section 15.5.20): the client should send the
// request to the leader.
constexpr unsigned kMisdirected = 421;
constexpr unsigned kUnprocessable = 422;
constexpr unsigned kUnavailable = 503;

std::string BearerTokenDigest(const AdminRequest& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value =
      FindHeader(request.m_headers, "Authorization").value_or("");
  return value.size() > kScheme.size()
             ? TokenDigest(value.substr(kScheme.size()))
             : "";
}

AdminResponse MakeNotLeaderResponse(const ControlService& control) {
  ordered_json json;
  json["error"] = "this host does not lead the control group";
  const GroupMember* leader = control.group().leader();
  json["leader_admin"] = leader == nullptr ? "" : leader->m_admin;
  return MakeJsonResponse(json, kMisdirected);
}

std::string ReadStringField(const ordered_json& json, const char* key) {
  const auto found = json.find(key);
  const bool is_string = found != json.end() && found->is_string();
  return is_string ? found->get<std::string>() : "";
}

ordered_json ToJson(const std::vector<Finding>& findings) {
  ordered_json list = ordered_json::array();
  for (const Finding& finding : findings) {
    list.push_back({{"section", finding.m_location.m_source},
                    {"line", finding.m_location.m_line},
                    {"column", finding.m_location.m_column},
                    {"text", finding.m_text}});
  }
  return list;
}

ordered_json ToJson(const PolicyHistoryEntry& entry) {
  return {{"revision", entry.m_revision.value()},
          {"section", entry.m_section},
          {"change_id", entry.m_change_id},
          {"actor", entry.m_actor},
          {"unix_ms", entry.m_unix_ms}};
}

AdminResponse ToResponse(const PolicyChangeResult& result) {
  ordered_json json;
  json["revision"] = result.m_revision.value();
  switch (result.m_status) {
    case PolicyChangeStatus::kAccepted:
      json["status"] = "accepted";
      return MakeJsonResponse(json, kOk);
    case PolicyChangeStatus::kConflict:
      json["status"] = "conflict";
      json["winner"] = ToJson(result.m_winning_change);
      return MakeJsonResponse(json, kConflict);
    case PolicyChangeStatus::kInvalid:
      json["status"] = "invalid";
      json["findings"] = ToJson(result.m_findings);
      return MakeJsonResponse(json, kUnprocessable);
    case PolicyChangeStatus::kForbidden:
      break;
  }
  json["status"] = "forbidden";
  json["error"] = "the token may not change this section";
  return MakeJsonResponse(json, kForbidden);
}

// Checks a change without regard to the current document. Returns a
// description of the first error, or an empty string.
std::string ValidateChange(const PolicyChange& change) {
  if (change.m_section.empty()) {
    return "section is missing";
  }
  if (change.m_change_id.empty() ||
      change.m_change_id.size() > kMaxChangeIdBytes) {
    return "change_id: expected 1 to 64 bytes";
  }
  if (change.m_actor.size() > kMaxActorBytes) {
    return "actor: at most 64 bytes";
  }
  if (change.m_text.size() > kMaxSectionBytes) {
    return "text: at most 64 KiB";
  }
  return "";
}

AdminResponse ApplyPolicy(ControlService& control,
                          const AdminRequest& request) {
  const ordered_json json = ordered_json::parse(request.m_body, nullptr, false);
  if (!json.is_object()) {
    return MakeErrorResponse(kBadRequest, "the body is not a JSON object");
  }
  const auto base = json.find("base");
  if (base == json.end() || !base->is_number_unsigned()) {
    return MakeErrorResponse(kBadRequest, "base: expected a revision");
  }
  PolicyChange change;
  change.m_section = ReadStringField(json, "section");
  change.m_base = Revision(base->get<std::uint64_t>());
  change.m_change_id = ReadStringField(json, "change_id");
  change.m_actor = ReadStringField(json, "actor");
  change.m_text = ReadStringField(json, "text");
  change.m_token_sha256 = BearerTokenDigest(request);
  change.m_unix_ms = UnixMillis();
  const std::string error = ValidateChange(change);
  if (!error.empty()) {
    return MakeErrorResponse(kBadRequest, error);
  }
  const PolicyChangeOutcome outcome = control.Change(change);
  if (outcome.m_kind == PolicyChangeOutcome::Kind::kNotLeader) {
    return MakeNotLeaderResponse(control);
  }
  if (outcome.m_kind == PolicyChangeOutcome::Kind::kUnknown) {
    ordered_json unknown;
    unknown["status"] = "unknown";
    unknown["error"] =
        outcome.m_reason + "; send the change again with the same change_id";
    return MakeJsonResponse(unknown, kUnavailable);
  }
  return ToResponse(outcome.m_result);
}

AdminResponse ShowPolicy(ControlService& control) {
  if (!control.ConfirmLeadership()) {
    return MakeNotLeaderResponse(control);
  }
  const PolicyDocument& document = control.state().m_policy.m_document;
  ordered_json sections = ordered_json::object();
  for (const auto& [name, section] : document.m_sections) {
    sections[name] = {{"revision", section.m_revision.value()},
                      {"text", section.m_text}};
  }
  ordered_json json;
  json["revision"] = document.m_revision.value();
  json["sections"] = sections;
  return MakeJsonResponse(json);
}

AdminResponse ShowHistory(ControlService& control) {
  if (!control.ConfirmLeadership()) {
    return MakeNotLeaderResponse(control);
  }
  ordered_json entries = ordered_json::array();
  for (const PolicyHistoryEntry& entry : control.state().m_policy.m_history) {
    entries.push_back(ToJson(entry));
  }
  return MakeJsonResponse({{"history", entries}});
}

AdminResponse ShowPolicyStatus(ControlService& control) {
  if (!control.ConfirmLeadership()) {
    return MakeNotLeaderResponse(control);
  }
  const Revision revision = control.state().m_policy.m_document.m_revision;
  ordered_json nodes = ordered_json::array();
  for (const auto& [name, member] : control.directory().m_members) {
    if (member.m_gone) {
      continue;
    }
    const Revision in_force = member.m_entry.m_revision;
    nodes.push_back({{"node", name.value()},
                     {"revision", in_force.value()},
                     {"lags", in_force < revision}});
  }
  return MakeJsonResponse({{"revision", revision.value()}, {"nodes", nodes}});
}

AdminResponse ShowMembers(ControlService& control) {
  if (!control.group().is_leader()) {
    return MakeNotLeaderResponse(control);
  }
  ordered_json members = ordered_json::array();
  for (const auto& [node, member] : control.directory().m_members) {
    if (!member.m_gone) {
      members.push_back(ToJson(member.m_entry));
    }
  }
  return MakeJsonResponse({{"members", members}});
}

AdminResponse ShowGroup(const ControlService& control) {
  const RaftState& raft = control.group().raft();
  static constexpr const char* kRoles[] = {"follower", "pre_candidate",
                                           "candidate", "leader"};
  ordered_json members = ordered_json::array();
  for (const GroupMember& member : raft.m_config.m_config.m_members) {
    members.push_back({{"node", member.m_node.value()},
                       {"instance", member.m_instance},
                       {"peer", member.m_peer},
                       {"admin", member.m_admin},
                       {"voter", member.m_is_voter},
                       {"leads", member.m_instance == raft.m_leader}});
  }
  ordered_json claims = ordered_json::array();
  for (const auto& [service, set] : control.state().m_claim_sets) {
    ordered_json nodes = ordered_json::array();
    for (const ClaimReplicaInfo& member : set.m_members) {
      nodes.push_back(member.m_node.value());
    }
    claims.push_back({{"service", service.value()},
                      {"epoch", set.m_epoch},
                      {"replicas", nodes}});
  }
  ordered_json json;
  json["group_id"] = raft.m_config.m_config.m_group_id;
  json["instance"] = raft.m_instance;
  json["role"] = kRoles[static_cast<int>(raft.m_role)];
  json["term"] = raft.m_hard.m_term;
  json["commit"] = raft.m_commit;
  json["last_index"] = LastIndex(raft.m_log);
  json["snapshot_index"] = raft.m_log.m_snapshot.m_index;
  json["journal_bytes"] = control.group().journal_bytes();
  json["proof_age_ms"] =
      Min(QuorumAckAge(raft, SteadyNow()), Millis(1e9)).value();
  json["members"] = members;
  json["claim_sets"] = claims;
  return MakeJsonResponse(json);
}

bool HasAdminToken(const ControlService& control, const AdminRequest& request) {
  const std::string& admin =
      control.group().raft().m_config.m_config.m_admin_token_sha256;
  return !admin.empty() && BearerTokenDigest(request) == admin;
}

AdminResponse MakeResultResponse(const std::optional<std::string>& error) {
  if (error) {
    return MakeErrorResponse(kConflict, *error);
  }
  return MakeJsonResponse({{"status", "done"}});
}

AdminResponse InitGroup(ControlService& control, const AdminRequest& request) {
  const std::string token = BearerTokenDigest(request);
  if (token.empty()) {
    return MakeErrorResponse(kForbidden,
                             "the administrator's token is missing");
  }
  return MakeResultResponse(control.InitGroup(token));
}

// Runs an operation that needs leadership of the control group and the token
// of its administrator. `change` gets the request body as a JSON object.
template <typename Change>
AdminResponse RunAdminChange(ControlService& control,
                             const AdminRequest& request,
                             Change change) {
  if (!control.ConfirmLeadership()) {
    return MakeNotLeaderResponse(control);
  }
  if (!HasAdminToken(control, request)) {
    return MakeErrorResponse(kForbidden, "not the administrator's token");
  }
  const ordered_json json = ordered_json::parse(request.m_body, nullptr, false);
  if (!json.is_object()) {
    return MakeErrorResponse(kBadRequest, "the body is not a JSON object");
  }
  return change(json);
}

AdminResponse AddHost(ControlService& control, const ordered_json& json) {
  const auto peer = ParseEndpoint(ReadStringField(json, "peer"));
  if (!peer) {
    return MakeErrorResponse(kBadRequest, "peer: " + peer.reason());
  }
  return MakeResultResponse(
      control.AddHost(NodeId(ReadStringField(json, "node")), *peer));
}

AdminResponse LiftRequestQuarantine(ControlService& control,
                                    const ordered_json& json) {
  const std::string text = ReadStringField(json, "fingerprint");
  const Fingerprint request(std::strtoull(text.c_str(), nullptr, 16));
  if (!control.LiftQuarantine(request)) {
    return MakeResultResponse("no such request is suspected or quarantined");
  }
  return MakeResultResponse(std::nullopt);
}

AdminResponse ShowQuarantine(ControlService& control) {
  if (!control.group().is_leader()) {
    return MakeNotLeaderResponse(control);
  }
  ordered_json rows = ordered_json::array();
  for (const auto& [request, entry] : control.quarantine().m_entries) {
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx",
                  static_cast<unsigned long long>(request.value()));
    const bool is_quarantined = entry.m_state == SuspectState::kQuarantined;
    rows.push_back({{"fingerprint", text},
                    {"state", is_quarantined ? "quarantined" : "suspect"},
                    {"ms_left", (entry.m_expires - SteadyNow()).value()}});
  }
  return MakeJsonResponse({{"requests", rows}});
}

}  // namespace

void AddControlOperations(AdminService& admin, ControlService& control) {
  using Request = const AdminRequest&;
  admin.Add("GET /hemlock/v1/members",
            [&control](Request) { return ShowMembers(control); });
  admin.Add("GET /hemlock/v1/policy",
            [&control](Request) { return ShowPolicy(control); });
  admin.Add("GET /hemlock/v1/policy/history",
            [&control](Request) { return ShowHistory(control); });
  admin.Add("GET /hemlock/v1/policy/status",
            [&control](Request) { return ShowPolicyStatus(control); });
  admin.Add("POST /hemlock/v1/policy/apply", [&control](Request request) {
    return ApplyPolicy(control, request);
  });
  admin.Add("GET /hemlock/v1/control",
            [&control](Request) { return ShowGroup(control); });
  admin.Add("POST /hemlock/v1/control/init", [&control](Request request) {
    return InitGroup(control, request);
  });
  admin.Add("POST /hemlock/v1/control/add", [&control](Request request) {
    return RunAdminChange(control, request, [&](const ordered_json& json) {
      return AddHost(control, json);
    });
  });
  admin.Add("POST /hemlock/v1/control/remove", [&control](Request request) {
    return RunAdminChange(control, request, [&](const ordered_json& json) {
      return MakeResultResponse(
          control.RemoveHost(NodeId(ReadStringField(json, "node"))));
    });
  });
  admin.Add("GET /hemlock/v1/quarantine",
            [&control](Request) { return ShowQuarantine(control); });
  admin.Add("POST /hemlock/v1/quarantine/lift", [&control](Request request) {
    return RunAdminChange(control, request, [&](const ordered_json& json) {
      return LiftRequestQuarantine(control, json);
    });
  });
}

}  // namespace hemlockpoint
