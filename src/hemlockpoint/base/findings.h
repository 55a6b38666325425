#ifndef HEMLOCKPOINT_BASE_FINDINGS_H_
#define HEMLOCKPOINT_BASE_FINDINGS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace hemlockpoint {

/// @brief A position in a document. Lines and columns start at 1; 0 means
/// unknown.
struct SourceLocation {
  /// Name of the document, such as a file path or a section name.
  std::string m_source;
  std::uint32_t m_line = 0;
  std::uint32_t m_column = 0;
};

/// @brief An error found in a document.
struct Finding {
  SourceLocation m_location;
  std::string m_text;
};

/// @brief Collects all errors of a document, so that they can be reported
/// together.
class Findings {
 public:
  void Add(SourceLocation location, std::string text);

  [[nodiscard]] bool empty() const { return m_items.empty(); }
  [[nodiscard]] const std::vector<Finding>& items() const { return m_items; }

  /// @return One line of the form "source:line:column: text" per finding.
  [[nodiscard]] std::string ToText() const;

 private:
  std::vector<Finding> m_items;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_BASE_FINDINGS_H_
