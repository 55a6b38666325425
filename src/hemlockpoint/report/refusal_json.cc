#include "hemlockpoint/report/refusal_json.h"

namespace hemlockpoint {

nlohmann::ordered_json ToJson(const Refusal& refusal) {
  nlohmann::ordered_json json;
  json["outcome"] = ToText(refusal.m_execution);
  json["decided_by"] = ToText(refusal.m_decider);
  json["reason"] = ToText(refusal.m_reason);
  if (refusal.m_decider == Decider::kOperator) {
    json["policy_revision"] = refusal.m_rule.m_revision.value();
    json["section"] = refusal.m_rule.m_section;
    json["rule"] = refusal.m_rule.m_rule;
  } else {
    json["signal"] = refusal.m_signal.m_name;
    json["value"] = refusal.m_signal.m_value;
    json["bound"] = refusal.m_signal.m_bound;
  }
  json["retry_after_ms"] = refusal.m_retry_after.value();
  json["node"] = refusal.m_node.value();
  return json;
}

nlohmann::ordered_json ToJson(const Decision& decision) {
  nlohmann::ordered_json json;
  json["unix_ms"] = decision.m_unix_ms;
  json["request_id"] = decision.m_root.value();
  json["hop"] = decision.m_hop;
  json["service"] = decision.m_service.value();
  json["method"] = decision.m_method;
  json["path"] = decision.m_path;
  json["class"] = decision.m_priority_class;
  json["target"] = decision.m_target.value();
  json["action"] = decision.m_action;
  json["refusal"] = ToJson(decision.m_refusal);
  return json;
}

}  // namespace hemlockpoint
