#ifndef HEMLOCKPOINT_REPORT_REFUSAL_JSON_H_
#define HEMLOCKPOINT_REPORT_REFUSAL_JSON_H_

#include <nlohmann/json.hpp>

#include "hemlockpoint/outcome/refusal.h"
#include "hemlockpoint/report/decisions.h"

namespace hemlockpoint {

/// @return The refusal as callers and operators read it; see
/// docs/interfaces.md.
[[nodiscard]] nlohmann::ordered_json ToJson(const Refusal& refusal);

/// @return The decision as hemlockctl explain reads it.
[[nodiscard]] nlohmann::ordered_json ToJson(const Decision& decision);

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_REPORT_REFUSAL_JSON_H_
