#include "hemlockpoint/config/toml_reader.h"

#include <cmath>
#include <cstdint>
#include <sstream>
#include <utility>

namespace hemlockpoint {

namespace {

SourceLocation LocationOfRegion(const toml::source_region& region,
                                const std::string& source) {
  return {source, region.begin.line, region.begin.column};
}

std::string FormatRange(NumberRange range) {
  std::ostringstream text;
  text << range.m_minimum << " to " << range.m_maximum;
  return text.str();
}

// Bounds of what the documents of this project need several times over. The
// parser recurses for each level, on the stack of a fiber.
constexpr int kMaxNesting = 16;
constexpr int kMaxDotsInLine = 64;

// Returns the first line whose brackets are nested too deeply, or which has too
// many dots outside of strings, as a dotted key with many parts does. Brackets
// in comments and in strings of several lines count as well.
std::optional<std::uint32_t> FindExcessiveNesting(std::string_view text) {
  std::uint32_t line = 1;
  int depth = 0;
  int dots = 0;
  char quote = 0;
  for (const char c : text) {
    if (c == '\n') {
      ++line;
      dots = 0;
      quote = 0;
    } else if (quote != 0) {
      quote = c == quote ? '\0' : quote;
    } else if (c == '"' || c == '\'') {
      quote = c;
    } else if (c == '[' || c == '{') {
      ++depth;
    } else if (c == ']' || c == '}') {
      --depth;
    } else if (c == '.') {
      ++dots;
    }
    if (depth > kMaxNesting || dots > kMaxDotsInLine) {
      return line;
    }
  }
  return std::nullopt;
}

}  // namespace

std::optional<toml::table> ParseToml(std::string_view text,
                                     const std::string& source,
                                     Findings& findings) {
  if (const auto line = FindExcessiveNesting(text)) {
    findings.Add({source, *line, 1}, "nested too deeply");
    return std::nullopt;
  }
  toml::parse_result parsed = toml::parse(text);
  if (!parsed) {
    const toml::parse_error& error = parsed.error();
    findings.Add(LocationOfRegion(error.source(), source),
                 std::string(error.description()));
    return std::nullopt;
  }
  return std::move(parsed).table();
}

TomlReader::TomlReader(const toml::table& table,
                       std::string path,
                       std::string source,
                       Findings& findings)
    : m_table(&table),
      m_path(std::move(path)),
      m_source(std::move(source)),
      m_findings(&findings) {}

std::string TomlReader::String(std::string_view key,
                               std::optional<std::string> fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    if (!fallback) {
      ReportMissingKey(key);
    }
    return fallback.value_or("");
  }
  if (!node->is_string()) {
    AddFinding(key, "expected a string");
    return fallback.value_or("");
  }
  return node->as_string()->get();
}

double TomlReader::Number(std::string_view key,
                          NumberRange range,
                          std::optional<double> fallback) {
  const toml::node* node = Find(key);
  const double default_value = fallback.value_or(range.m_minimum);
  if (node == nullptr) {
    if (!fallback) {
      ReportMissingKey(key);
    }
    return default_value;
  }
  if (!node->is_number()) {
    AddFinding(key, "expected a number");
    return default_value;
  }
  const double value = node->value<double>().value_or(std::nan(""));
  if (!(value >= range.m_minimum && value <= range.m_maximum)) {
    AddFinding(key, "out of range: expected " + FormatRange(range));
    return default_value;
  }
  return value;
}

std::uint64_t TomlReader::Integer(std::string_view key,
                                  NumberRange range,
                                  std::optional<std::uint64_t> fallback) {
  const toml::node* node = Find(key);
  if (node != nullptr && !node->is_integer()) {
    AddFinding(key, "expected an integer");
    return fallback.value_or(0);
  }
  std::optional<double> number;
  if (fallback) {
    number = static_cast<double>(*fallback);
  }
  return static_cast<std::uint64_t>(Number(key, range, number));
}

bool TomlReader::Bool(std::string_view key, std::optional<bool> fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    if (!fallback) {
      ReportMissingKey(key);
    }
    return fallback.value_or(false);
  }
  if (!node->is_boolean()) {
    AddFinding(key, "expected true or false");
    return fallback.value_or(false);
  }
  return node->as_boolean()->get();
}

std::vector<std::string> TomlReader::Strings(
    std::string_view key,
    std::optional<std::vector<std::string>> fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    if (!fallback) {
      ReportMissingKey(key);
    }
    return fallback.value_or(std::vector<std::string>());
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    AddFinding(key, "expected an array of strings");
    return {};
  }
  std::vector<std::string> values;
  for (const toml::node& item : *array) {
    if (!item.is_string()) {
      m_findings->Add(
          LocationOfRegion(item.source(), m_source),
          "expected a string in " + m_path + "." + std::string(key));
      continue;
    }
    values.push_back(item.as_string()->get());
  }
  return values;
}

std::optional<TomlReader> TomlReader::Table(std::string_view key) {
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return std::nullopt;
  }
  const toml::table* table = node->as_table();
  if (table == nullptr) {
    AddFinding(key, "expected a table");
    return std::nullopt;
  }
  const std::string path =
      m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
  return TomlReader(*table, path, m_source, *m_findings);
}

std::vector<TomlReader> TomlReader::Tables(std::string_view key) {
  std::vector<TomlReader> readers;
  const toml::node* node = Find(key);
  if (node == nullptr) {
    return readers;
  }
  const toml::array* array = node->as_array();
  if (array == nullptr) {
    AddFinding(key, "expected an array of tables");
    return readers;
  }
  for (const toml::node& item : *array) {
    const toml::table* table = item.as_table();
    if (table == nullptr) {
      AddFinding(key, "expected an array of tables");
      continue;
    }
    readers.emplace_back(*table, m_path + "." + std::string(key), m_source,
                         *m_findings);
  }
  return readers;
}

std::vector<std::string> TomlReader::Keys() const {
  std::vector<std::string> keys;
  for (const auto& [key, value] : *m_table) {
    keys.emplace_back(key.str());
  }
  return keys;
}

void TomlReader::ReportUnknownKeys() {
  for (const std::string& key : Keys()) {
    if (m_read_keys.count(key) == 0) {
      AddFinding(key, "unknown key");
    }
  }
}

void TomlReader::AddFinding(std::string_view key, const std::string& text) {
  const std::string name =
      m_path.empty() ? std::string(key) : m_path + "." + std::string(key);
  m_findings->Add(LocationOf(key), name + ": " + text);
}

SourceLocation TomlReader::LocationOf(std::string_view key) const {
  const toml::node* node = m_table->get(key);
  return LocationOfRegion(node == nullptr ? m_table->source() : node->source(),
                          m_source);
}

const toml::node* TomlReader::Find(std::string_view key) {
  m_read_keys.emplace(key);
  return m_table->get(key);
}

void TomlReader::ReportMissingKey(std::string_view key) {
  AddFinding(key, "missing");
}

}  // namespace hemlockpoint
