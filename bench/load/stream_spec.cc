#include "stream_spec.h"

#include <cstdlib>

namespace hemlockpoint {

namespace {

constexpr double kMillisPerSecond = 1000;

// Sets the option named by `key`. Returns whether the key is known.
bool SetStreamOption(StreamSpec& spec,
                     const std::string& key,
                     const std::string& value) {
  const double number = std::atof(value.c_str());
  if (key == "name") {
    spec.m_name = value;
  } else if (key == "service") {
    spec.m_service = value;
  } else if (key == "method") {
    spec.m_method = value;
  } else if (key == "path") {
    spec.m_path = value;
  } else if (key == "caller") {
    spec.m_caller = value;
  } else if (key == "token") {
    spec.m_token = value;
  } else if (key == "rate") {
    spec.m_requests_per_second = number;
  } else if (key == "start") {
    spec.m_start_offset = Millis(number * kMillisPerSecond);
  } else if (key == "seconds") {
    spec.m_duration = Millis(number * kMillisPerSecond);
  } else if (key == "deadline") {
    spec.m_deadline = Millis(number);
  } else if (key == "body") {
    spec.m_body_bytes = static_cast<std::size_t>(number);
  } else if (key == "resends") {
    spec.m_max_resends = static_cast<unsigned>(number);
  } else if (key == "keyed") {
    spec.m_has_idempotency_keys = number != 0;
  } else if (key == "distinct") {
    spec.m_has_distinct_paths = number != 0;
  } else {
    return false;
  }
  return true;
}

}  // namespace

Result<StreamSpec> ParseStreamSpec(std::string_view text) {
  using SpecResult = Result<StreamSpec>;
  StreamSpec spec;
  while (!text.empty()) {
    const std::size_t end = text.find(',');
    const std::string pair(text.substr(0, end));
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
    const std::size_t equals = pair.find('=');
    if (equals == std::string::npos) {
      return SpecResult::Failure("expected KEY=VALUE: " + pair);
    }
    const std::string key = pair.substr(0, equals);
    const std::string value = pair.substr(equals + 1);
    if (key == "entry") {
      const auto entry = ParseEndpoint(value);
      if (!entry) {
        return SpecResult::Failure("entry: " + entry.reason());
      }
      spec.m_entries.push_back(*entry);
    } else if (!SetStreamOption(spec, key, value)) {
      return SpecResult::Failure("unknown key: " + key);
    }
  }
  if (spec.m_entries.empty() || spec.m_requests_per_second <= 0) {
    return SpecResult::Failure("expected entry= and a rate= above 0");
  }
  return spec;
}

}  // namespace hemlockpoint
