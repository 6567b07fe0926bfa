// A watch event of the discovery service: changes to the endpoint list, or a purge.
#pragma once
#include <optional>

#include "exchange/exchange.hpp"
#include "json/json.hpp"
#include "sheet/sheet.hpp"

namespace dunlinwick::discovery {

struct WatchEvent {
  std::uint64_t revision = 0;
  bool has_list = false;
  bool is_full_list = false;
  std::vector<exchange::ListedEndpoint> entries;
  bool has_purge = false;
  bool whole_group = false;
  std::string object;
  int group = 0;
  WallTime purged_at;  // on the service's wall clock
};

// Without a result if the event is malformed. An event of an unknown kind has neither a list nor a
// purge.
std::optional<WatchEvent> ReadWatchEvent(const json::Value& event,
                                         const settings::ConnectionSettings& terms);

}  // namespace dunlinwick::discovery
