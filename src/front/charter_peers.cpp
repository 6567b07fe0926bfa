// Reads the peers block. A block with an invalid field is rejected as a whole, with the field and
// the reason.
#include <stdexcept>

#include "front/charter.hpp"

namespace dunlinwick::front {

using json::Kind;
using json::Value;

PeersSettings ReadPeersSettings(const Value& block) {
  PeersSettings settings;
  settings.enabled = true;
  auto error = [](const std::string& where, const std::string& why) {
    return std::runtime_error("peers." + where + ": " + why);
  };
  auto id = [&](const Value& object, const std::string& where, const char* name) {
    const Value* v = object.Find(name, Kind::kNumber);
    double n = v ? v->AsNumber() : 0;
    if (!(n >= 1 && n <= 1e9) || n != static_cast<double>(static_cast<long long>(n)))
      throw error(where + name, "must be an integer in [1, 1000000000]");
    return static_cast<std::uint32_t>(n);
  };
  settings.self = id(block, "", "self");
  auto listen = loop::ReadAddress(block.GetString("listen"));
  if (!listen)
    throw error("listen", "must be an address such as 127.0.0.10:7400");
  settings.listen = *listen;
  const Value* members = block.Find("members", Kind::kArray);
  constexpr std::size_t kMaxMembers = peers::Settings{}.max_peers;
  if (!members || members->items.empty() || members->items.size() > kMaxMembers)
    throw error("members",
                "must list 1 to " + std::to_string(kMaxMembers) + " objects, each with id and at");
  for (std::size_t i = 0; i < members->items.size(); ++i) {
    const Value& item = members->items[i];
    std::string where = "members[" + std::to_string(i) + "].";
    if (item.kind != Kind::kObject)
      throw error("members[" + std::to_string(i) + "]", "must be an object with id and at");
    std::uint32_t member = id(item, where, "id");
    auto address = loop::ReadAddress(item.GetString("at"));
    if (!address)
      throw error(where + "at", "must be an address such as 127.0.0.10:7400");
    if (!settings.addresses.emplace(member, *address).second)
      throw error(where + "id", "duplicate id");
  }
  if (!settings.addresses.count(settings.self))
    throw error("self", "is not in members");
  return settings;
}

}  // namespace dunlinwick::front
