// Reads the settings text into the deployment settings that the router takes at start, and into the
// settings of the connections. The text has one path=value per line, as the simulator's protocol
// hands it out; a front's JSON settings are flattened into the same form.
#pragma once
#include <stdexcept>
#include <string>
#include <string_view>

#include "json/json.hpp"
#include "logic.hpp"

namespace dunlinwick::settings {

struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What the network code needs: names as they appear on the wire, and the limits of connections.
struct ConnectionSettings {
  std::vector<std::string> request_classes;
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  std::vector<std::string> report_names;  // of the values in an answer's load report, in order
  Ms connect_timeout = 0;
  Ms idle_timeout = 0;
  int max_concurrent_attempts = 1;  // on one connection
  bool may_probe = false;
};

// Both skip unknown keys. A required key that is missing or unreadable throws SettingsError, which
// names it.
DeploymentSettings ReadDeploymentSettings(std::string_view text);
ConnectionSettings ReadConnectionSettings(std::string_view text);

// JSON settings as lines path=value. A list of scalars becomes one comma-separated value.
std::string FlattenToLines(const json::Value& settings);
// A value as it stands in the settings text: spaces, commas and control characters become '_'.
std::string SanitizedValue(std::string_view text);

}  // namespace dunlinwick::settings
