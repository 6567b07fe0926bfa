// Reads the settings into the sheet that the module is handed at start, and the terms of the road
// to it. The text has one path=value a line, as the simulator's wire hands it out; a front's JSON
// is laid out likewise.
#pragma once
#include <stdexcept>
#include <string>
#include <string_view>

#include "json/json.hpp"
#include "logic.hpp"

namespace dunlinwick::settings {

struct SettingsFault : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What the network code goes by: names as they stand on the wire, and the limits of connections.
struct RoadTerms {
  std::vector<std::string> request_classes;
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
  std::vector<std::string> reported;
  Ms connect_within = 0;
  Ms idle_for = 0;
  int attempts_at_once = 1;  // on one connection
  bool may_probe = false;
};

// Unknown keys are skipped; a needed one that is missing or unreadable throws SheetFault, naming
// it.
StoreSettings ReadSettings(std::string_view text);
RoadTerms ReadRoadTerms(std::string_view text);

std::string Dotted(const json::Value& settings);
std::string PlainWord(std::string_view text);  // as a value stands in the text

}  // namespace dunlinwick::settings
