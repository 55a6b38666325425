#ifndef HEMLOCKPOINT_CONFIG_TOML_READER_H_
#define HEMLOCKPOINT_CONFIG_TOML_READER_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

// The library's exceptions would leave through fibers; parse errors are
// returned instead.
#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

#include "hemlockpoint/base/findings.h"

namespace hemlockpoint {

/// @brief Parses a TOML document (v1.0).
/// @param source Name of the document in findings.
/// @return The document, or nothing after adding the parser's finding.
[[nodiscard]] std::optional<toml::table> ParseToml(std::string_view text,
                                                   const std::string& source,
                                                   Findings& findings);

/// @brief Bounds of a number in a document.
struct NumberRange {
  double m_minimum = 0;
  double m_maximum = 0;
};

/// @brief Reads the keys of one table, collecting a finding for each value of
/// the wrong type or range, each missing key and each key never read.
class TomlReader {
 public:
  /// @param table Outlives the reader.
  /// @param path Dotted name of the table, empty for the document.
  TomlReader(const toml::table& table,
             std::string path,
             std::string source,
             Findings& findings);

  /// @return The string, or `fallback` when the key is absent; an absent key
  /// without a fallback is a finding.
  std::string String(std::string_view key,
                     std::optional<std::string> fallback = std::nullopt);
  double Number(std::string_view key,
                NumberRange range,
                std::optional<double> fallback = std::nullopt);
  std::uint64_t Integer(std::string_view key,
                        NumberRange range,
                        std::optional<std::uint64_t> fallback = std::nullopt);
  bool Bool(std::string_view key, std::optional<bool> fallback = std::nullopt);
  std::vector<std::string> Strings(
      std::string_view key,
      std::optional<std::vector<std::string>> fallback = std::nullopt);

  /// @return A reader of the table under the key, or nothing when absent.
  [[nodiscard]] std::optional<TomlReader> Table(std::string_view key);

  /// @return A reader for each table of the array under the key.
  [[nodiscard]] std::vector<TomlReader> Tables(std::string_view key);

  /// @return The keys of the table in the document's order.
  [[nodiscard]] std::vector<std::string> Keys() const;

  /// @brief Adds a finding for each key that was never read.
  void FinishKeys();

  /// @brief Adds a finding at the key, or at the table when it is absent.
  void Complain(std::string_view key, const std::string& text);

  [[nodiscard]] Place PlaceOf(std::string_view key) const;

 private:
  const toml::node* Find(std::string_view key);
  void Missing(std::string_view key);

  const toml::table* m_table;
  std::string m_path;
  std::string m_source;
  Findings* m_findings;
  std::set<std::string, std::less<>> m_read;
};

}  // namespace hemlockpoint

#endif  // HEMLOCKPOINT_CONFIG_TOML_READER_H_
