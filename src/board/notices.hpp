// One notice of the board: changes to the list of machines, or a purge.
#pragma once
#include <optional>

#include "exchange/exchange.hpp"
#include "json/json.hpp"
#include "sheet/sheet.hpp"

namespace dunlinwick::discovery {

struct Notice {
  std::uint64_t rev = 0;
  bool list = false;
  bool whole = false;
  std::vector<exchange::ListedEndpoint> entries;
  bool purge = false;
  bool whole_group = false;
  std::string object;
  int group = 0;
  WallTime at;  // of the purge
};

// Nothing where it can't be read. A notice of a kind not known here is one of neither list nor
// purge.
std::optional<Notice> ReadNotice(const json::Value& notice,
                                 const settings::ConnectionSettings& terms);

}  // namespace dunlinwick::discovery
