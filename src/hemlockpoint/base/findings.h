#ifndef HEMLOCKPOINT_BASE_FINDINGS_H_
#define HEMLOCKPOINT_BASE_FINDINGS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockpoint {

/// @brief Where a finding was made. Line and column start at 1; 0 is unknown.
struct SourceLocation {
  std::string m_source;
  std::uint32_t m_line = 0;
  std::uint32_t m_column = 0;
};

/// @brief One fault found in a document.
struct Finding {
  SourceLocation m_location;
  std::string m_text;
};

/// @brief Faults collected over a whole document and reported together.
class Findings {
 public:
  void Add(SourceLocation place, std::string text);

  [[nodiscard]] bool empty() const { return m_items.empty(); }
  [[nodiscard]] const std::vector<Finding>& items() const { return m_items; }

  /// @return One "source:line:column: text" line per finding.
  [[nodiscard]] std::string ToText() const;

 private:
  std::vector<Finding> m_items;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_BASE_FINDINGS_H_
