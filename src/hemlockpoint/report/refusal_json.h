#ifndef HEMLOCKPOINT_REPORT_REFUSAL_JSON_H_
#define HEMLOCKPOINT_REPORT_REFUSAL_JSON_H_

#include <nlohmann/json.hpp>

#include "hemlockpoint/outcome/refusal.h"
#include "hemlockpoint/report/decisions.h"

namespace hemlockpoint {

/// @return The refusal in the JSON format for callers and operators; see
/// docs/interfaces.md.
[[nodiscard]] nlohmann::ordered_json ToJson(const Refusal& refusal);

/// @return The decision in the JSON format that "hemlockctl explain" reads.
[[nodiscard]] nlohmann::ordered_json ToJson(const Decision& decision);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_REPORT_REFUSAL_JSON_H_
