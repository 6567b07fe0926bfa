// What a front is told at its start: who it is, where it listens, whom it knows, and the sheet.
#pragma once
#include <string>

#include "json/json.hpp"
#include "loop/connection.hpp"
#include "sheet/sheet.hpp"

namespace dunlinwick::front {

struct Charter {
  std::string name, boardText;
  loop::Address listen{}, board{};
  std::uint64_t seed = 0;
  std::size_t descriptors = 0;
  double memoryMb = 0;
  json::Value known;  // the notice board's events up to now
  StoreSheet sheet;
  sheet::RoadTerms terms;
};

// Throws std::runtime_error with one line that says what is wrong. `listen`: in place of the file's, if
// given.
Charter readCharter(const std::string& path, const std::string& listen);
// The same of a text; `named` is what a fault calls it.
Charter readCharterText(const std::string& text, const std::string& named, const std::string& listen);

}  // namespace dunlinwick::front
