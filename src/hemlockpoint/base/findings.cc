#include "hemlockpoint/base/findings.h"

#include <utility>

namespace hemlockpoint {

void Findings::Add(SourceLocation location, std::string text) {
  m_items.push_back({std::move(location), std::move(text)});
}

std::string Findings::ToText() const {
  std::string text;
  for (const Finding& finding : m_items) {
    text += finding.m_location.m_source + ":" +
            std::to_string(finding.m_location.m_line) + ":" +
            std::to_string(finding.m_location.m_column) + ": " +
            finding.m_text + "\n";
  }
  return text;
}

}  // namespace hemlockpoint
