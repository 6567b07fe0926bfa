// Reads the settings text of the wire into the sheet that the module is handed at start.
#pragma once
#include <string_view>

#include "logic.hpp"

namespace dunlinwick::benchlink {
// Unknown keys are skipped; a needed one that is missing or unreadable throws WireFault, naming it.
StoreSheet readFacts(std::string_view text);
}  // namespace dunlinwick::benchlink
