#include "hemlockpoint/base/findings.h"

#include <utility>

namespace hemlockpoint {

void Findings::Add(Place place, std::string text) {
  m_items.push_back({std::move(place), std::move(text)});
}

std::string Findings::ToText() const {
  std::string text;
  for (const Finding& finding : m_items) {
    text += finding.m_place.m_source + ":" +
            std::to_string(finding.m_place.m_line) + ":" +
            std::to_string(finding.m_place.m_column) + ": " + finding.m_text +
            "\n";
  }
  return text;
}

}  // namespace hemlockpoint
