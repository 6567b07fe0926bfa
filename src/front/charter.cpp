#include "front/charter.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace dunlinwick::front {

using json::Kind;
using json::Value;

static const Value& RequireField(const Value& object, const char* name, Kind kind) {
  const Value* value = object.Find(name, kind);
  if (!value)
    throw std::runtime_error(std::string("configuration: missing or invalid ") + name);
  return *value;
}

static loop::Address RequireAddress(const std::string& text, const char* name) {
  auto address = loop::ReadAddress(text);
  if (!address)
    throw std::runtime_error(std::string(name) + " is not an address: " + text);
  return *address;
}

// Rejects the whole block when a field is invalid, naming the field and the reason.
static FleetSettings ReadFleetSettings(const Value& block, const PeersSettings& peers,
                                       const std::vector<std::string>& platform_zones,
                                       int own_zone) {
  FleetSettings settings;
  settings.enabled = true;
  settings.over_peers = peers.enabled && !block.Find("listen");
  auto error = [](const std::string& where, const std::string& why) {
    return std::runtime_error("fleet." + where + ": " + why);
  };
  auto integer = [&](const Value& object, const char* name, double min, double max) {
    const Value* v = object.Find(name, Kind::kNumber);
    if (!v)
      throw error(name, "missing or not a number");
    double n = v->AsNumber();
    if (!(n >= min && n <= max) || n != static_cast<double>(static_cast<long long>(n)))
      throw error(name, "must be an integer in [" + std::to_string(static_cast<long long>(min)) +
                            ", " + std::to_string(static_cast<long long>(max)) + "]");
    return n;
  };
  auto optional_ms = [&](const char* name, double& into, double min, double max) {
    if (block.Find(name))
      into = integer(block, name, min, max);
  };
  const Value* zones = block.Find("zones", Kind::kArray);
  if (!zones || zones->items.empty() || zones->items.size() > 16)
    throw error("zones", "must list 1 to 16 zones");
  std::vector<std::string> regions;
  for (std::size_t i = 0; i < zones->items.size(); ++i) {
    const Value& item = zones->items[i];
    std::string where = "zones[" + std::to_string(i) + "]";
    std::string name(item.GetString("name")), region(item.GetString("region"));
    if (name.empty() || region.empty())
      throw error(where, "must have a name and a region");
    if (std::find(settings.zones.begin(), settings.zones.end(), name) != settings.zones.end())
      throw error(where, "duplicate name");
    auto known_region = std::find(regions.begin(), regions.end(), region);
    if (known_region == regions.end()) {
      regions.push_back(region);
      known_region = regions.end() - 1;
    }
    settings.zones.push_back(name);
    settings.zone_region.push_back(static_cast<int>(known_region - regions.begin()));
  }
  const Value* members = block.Find("members", Kind::kArray);
  if (!members || members->items.empty() || members->items.size() > 1000)
    throw error("members", "must list 1 to 1000 members");
  settings.self = static_cast<std::uint32_t>(integer(block, "self", 0, 1e9));
  bool has_self = false;
  for (std::size_t i = 0; i < members->items.size(); ++i) {
    const Value& item = members->items[i];
    std::string where = "members[" + std::to_string(i) + "]";
    FleetMember member;
    try {
      member.id = static_cast<std::uint32_t>(integer(item, "id", 0, 1e9));
    } catch (const std::runtime_error&) {
      throw error(where + ".id", "must be an integer");
    }
    if (settings.over_peers) {
      if (!peers.addresses.count(member.id))
        throw error(where + ".id", "is not in peers.members, whose socket the fleet uses");
      if (item.Find("at"))
        throw error(where + ".at",
                    "is allowed only with fleet.listen; addresses come from peers.members");
    } else {
      auto address = loop::ReadAddress(item.GetString("at"));
      if (!address)
        throw error(where + ".at", "must be an address such as 127.0.0.10:7400");
      member.address = *address;
    }
    auto zone = std::find(settings.zones.begin(), settings.zones.end(), item.GetString("zone"));
    if (zone == settings.zones.end())
      throw error(where + ".zone", "is not in zones");
    member.zone = static_cast<int>(zone - settings.zones.begin());
    for (const FleetMember& other : settings.members)
      if (other.id == member.id)
        throw error(where + ".id", "duplicate id");
    has_self |= member.id == settings.self;
    settings.members.push_back(member);
  }
  if (!has_self)
    throw error("self", "is not in members");
  if (settings.over_peers && settings.self != peers.self)
    throw error("self", "must equal peers.self, whose socket the fleet uses");
  auto listen = loop::ReadAddress(block.GetString("listen"));
  if (!listen && !settings.over_peers)
    throw error("listen", "must be an address such as 127.0.0.10:7400");
  if (listen)
    settings.listen = *listen;
  optional_ms("period_ms", settings.swim.period, 50, 60000);
  optional_ms("probe_timeout_ms", settings.swim.probe_timeout, 10, 60000);
  optional_ms("hold_back_ms", settings.failover_settings.recovery_interval, 0, 600000);
  if (!(settings.swim.probe_timeout < settings.swim.period))
    throw error("probe_timeout_ms", "must be shorter than period_ms");
  if (block.Find("quorum"))
    settings.failover_settings.quorum = static_cast<int>(integer(block, "quorum", 1, 1000));
  if (settings.failover_settings.quorum > static_cast<int>(settings.members.size()))
    throw error("quorum", "is greater than the number of members");
  if (2 * settings.failover_settings.quorum <= static_cast<int>(settings.members.size()) &&
      settings.failover_settings.quorum > 0)
    throw error("quorum",
                "must be more than half the members: otherwise both sides of a partition decide");
  optional_ms("lasting_ms", settings.failover_settings.degradation_delay, 0, 600000);
  if (const Value* steer = block.Find("steer")) {
    if (steer->kind != Kind::kBoolean)
      throw error("steer", "must be true or false");
    settings.steer = steer->text == "true";
  }
  settings.platform_zone_count = platform_zones.size();
  for (std::size_t z = 0; settings.steer && z < settings.zones.size(); ++z) {
    auto zone = std::find(platform_zones.begin(), platform_zones.end(), settings.zones[z]);
    if (zone == platform_zones.end())
      throw error("zones[" + std::to_string(z) + "]", "must be in settings.azs when steer is true");
    settings.platform_zones.push_back(static_cast<std::size_t>(zone - platform_zones.begin()));
  }
  for (const FleetMember& own : settings.members)
    if (settings.steer && own.id == settings.self &&
        settings.platform_zones[static_cast<std::size_t>(own.zone)] !=
            static_cast<std::size_t>(own_zone))
      throw error("self", "must be in the zone settings.zone when steer is true");
  return settings;
}

static OwnerSettings ReadOwnerSettings(const Value& block, const PeersSettings& peers) {
  OwnerSettings settings;
  settings.enabled = true;
  settings.over_peers = peers.enabled && !block.Find("listen");
  auto error = [](const std::string& where, const std::string& why) {
    return std::runtime_error("owner." + where + ": " + why);
  };
  if (!HasFleetComponents())
    throw std::runtime_error("owner: this build has no libraft; build with -DDUNLINWICK_OWNER=ON");
  auto integer = [&](const Value& object, const std::string& where, const char* name, double min,
                     double max) {
    const Value* v = object.Find(name, Kind::kNumber);
    double n = v ? v->AsNumber() : -1;
    if (!v || !(n >= min && n <= max) || n != static_cast<double>(static_cast<long long>(n)))
      throw error(where + name, "must be an integer in [" +
                                    std::to_string(static_cast<long long>(min)) + ", " +
                                    std::to_string(static_cast<long long>(max)) + "]");
    return n;
  };
  auto optional_integer = [&](const char* name, double& into, double min, double max) {
    if (block.Find(name))
      into = integer(block, "", name, min, max);
  };
  settings.self = static_cast<std::uint32_t>(integer(block, "", "self", 1, 1e9));
  if (settings.over_peers && settings.self != peers.self)
    throw error("self", "must equal peers.self, whose socket the owner uses");
  auto listen = loop::ReadAddress(block.GetString("listen"));
  if (!listen && !settings.over_peers)
    throw error("listen", "must be an address such as 127.0.0.10:7600");
  if (listen)
    settings.listen = *listen;
  std::vector<std::uint32_t> ids;
  for (const char* field : {"members", "places"}) {
    const Value* list = block.Find(field, Kind::kArray);
    if (!list && std::string_view(field) == "places")
      continue;  // tasks with steps name their executors, and are rejected without
    if (!list || list->items.empty() || list->items.size() > 1000)
      throw error(field, "must list 1 to 1000 objects, each with id and at");
    for (std::size_t i = 0; i < list->items.size(); ++i) {
      std::string where = std::string(field) + "[" + std::to_string(i) + "].";
      auto id = static_cast<std::uint32_t>(integer(list->items[i], where, "id", 1, 1e9));
      if (std::find(ids.begin(), ids.end(), id) != ids.end())
        throw error(where + "id", "duplicate id");
      ids.push_back(id);
      if (settings.over_peers && field == std::string("members")) {
        if (!peers.addresses.count(id))
          throw error(where + "id", "is not in peers.members, whose socket the owner uses");
        if (list->items[i].Find("at"))
          throw error(where + "at",
                      "is allowed only with owner.listen; addresses come from peers.members");
        continue;
      }
      if (settings.over_peers && peers.addresses.count(id))
        throw error(where + "id", "is the id of a peer");
      auto address = loop::ReadAddress(list->items[i].GetString("at"));
      if (!address)
        throw error(where + "at", "must be an address such as 127.0.0.10:7600");
      settings.addresses.emplace(id, *address);
    }
  }
  auto has_id = [](const Value* list, double id) {
    return list && std::any_of(list->items.begin(), list->items.end(),
                               [&](const Value& v) { return v.GetNumber("id") == id; });
  };
  const Value *members = block.Find("members"), *places = block.Find("places"),
              *group = block.Find("group", Kind::kArray);
  if (!has_id(members, settings.self))
    throw error("self", "is not in members");
  if (!group || (group->items.size() != 3 && group->items.size() != 5))
    throw error("group", "must list the ids of 3 or 5 members");
  for (const Value& item : group->items) {
    double id = item.kind == Kind::kNumber ? item.AsNumber() : 0;
    if (!has_id(members, id))
      throw error("group", "has an id that is not in members");
    if (std::find(settings.group.begin(), settings.group.end(), static_cast<std::uint32_t>(id)) !=
        settings.group.end())
      throw error("group", "has a duplicate id");
    settings.group.push_back(static_cast<std::uint32_t>(id));
  }
  settings.store = block.GetString("store");
  optional_integer("lease_ms", settings.lease.duration, 500, 600000);
  optional_integer("margin_ms", settings.lease.margin, 10, 60000);
  optional_integer("renew_ms", settings.lease.renew_interval, 50, 200000);
  optional_integer("election_ms", settings.raft.election_timeout, 100, 60000);
  if (const Value* drift = block.Find("drift")) {
    if (drift->kind != Kind::kNumber || !(drift->AsNumber() >= 0 && drift->AsNumber() <= 0.2))
      throw error("drift", "must be a number from 0 to 0.2");
    settings.lease.clock_drift = drift->AsNumber();
  }
  settings.raft.heartbeat_interval = std::max(20.0, settings.raft.election_timeout / 5);
  double usable =
      settings.lease.duration * (1 - settings.lease.clock_drift) - settings.lease.margin;
  if (!(3 * settings.lease.renew_interval <= usable))
    throw error("renew_ms",
                "must be at most a third of the " + std::to_string(static_cast<long long>(usable)) +
                    " ms for which a lease is usable, so that two renewals may be lost");
  const Value* tasks = block.Find("works", Kind::kArray);
  if (!tasks || tasks->items.empty() || tasks->items.size() > owner::kMaxTasks)
    throw error("works", "must list 1 to 64 tasks");
  for (std::size_t i = 0; i < tasks->items.size(); ++i) {
    const Value& item = tasks->items[i];
    std::string where = "works[" + std::to_string(i) + "].";
    OwnerSettings::LeasedTask task;
    task.name = item.GetString("name");
    if (!owner::IsValidTaskName(task.name))
      throw error(where + "name", "must be 1 to 48 of a-z, 0-9 and dashes");
    for (const auto& other : settings.tasks)
      if (other.name == task.name)
        throw error(where + "name", "duplicate name");
    if (const Value* standing = item.Find("standing")) {
      if (standing->kind != Kind::kBoolean)
        throw error(where + "standing", "must be true or false");
      task.standing = standing->text == "true";
    }
    if (task.standing) {
      if (item.Find("steps") || item.Find("each_ms") || item.Find("places"))
        throw error(where + "standing", "does not combine with steps, each_ms and places");
      settings.tasks.push_back(std::move(task));
      continue;
    }
    task.steps = static_cast<std::uint64_t>(integer(item, where, "steps", 1, 1e9));
    if (item.Find("each_ms"))
      task.step_time = integer(item, where, "each_ms", 0, 3600000);
    const Value* executors = item.Find("places", Kind::kArray);
    if (!executors || executors->items.empty())
      throw error(where + "places", "must list the ids of the task's executors");
    for (const Value& executor : executors->items) {
      double id = executor.kind == Kind::kNumber ? executor.AsNumber() : 0;
      if (!has_id(places, id))
        throw error(where + "places", "has an id that is not in owner.places");
      task.executors.push_back(static_cast<std::uint32_t>(id));
    }
    settings.tasks.push_back(std::move(task));
  }
  return settings;
}

FrontConfiguration ReadConfiguration(const std::string& path, const std::string& listen) {
  std::ifstream file(path, std::ios::binary);
  std::stringstream text;
  if (!file || !(text << file.rdbuf()))
    throw std::runtime_error("cannot read configuration: " + path);
  return ParseConfiguration(text.str(), path, listen);
}

FrontConfiguration ParseConfiguration(const std::string& text, const std::string& source,
                                      const std::string& listen) {
  auto root = json::Parse(text);
  if (!root || root->kind != Kind::kObject)
    throw std::runtime_error("configuration is not a JSON object: " + source);
  FrontConfiguration configuration;
  configuration.name = root->GetString("name");
  configuration.listen = RequireAddress(
      listen.empty() ? RequireField(*root, "listen", Kind::kString).text : listen, "listen");
  configuration.discovery_text = RequireField(*root, "board", Kind::kString).text;
  configuration.discovery = RequireAddress(configuration.discovery_text, "board");
  const std::string& seed = RequireField(*root, "seed", Kind::kString).text;
  auto [end, error] =
      std::from_chars(seed.data(), seed.data() + seed.size(), configuration.seed, 16);
  if (error != std::errc{} || end != seed.data() + seed.size())
    throw std::runtime_error("seed is not a hexadecimal number: " + seed);
  const Value& limits = RequireField(*root, "limits", Kind::kObject);
  configuration.memory_mb = RequireField(limits, "memory_mb", Kind::kNumber).AsNumber();
  double sockets = RequireField(limits, "sockets", Kind::kNumber).AsNumber();
  if (!(configuration.memory_mb >= 32 && sockets >= kMinDescriptors && sockets <= 1e6))
    throw std::runtime_error(
        "limits are out of range: memory_mb must be at least 32, sockets in [64, 1000000]");
  configuration.descriptors = static_cast<std::size_t>(sockets);
  configuration.known_updates = RequireField(*root, "known", Kind::kObject);
  std::string settings = settings::FlattenToLines(RequireField(*root, "settings", Kind::kObject));
  configuration.settings = settings::ReadDeploymentSettings(settings);
  configuration.connection_settings = settings::ReadConnectionSettings(settings);
  // By the protocol clients hold at most a third of the descriptor limit, with one request on each
  // connection.
  int third = static_cast<int>(configuration.descriptors / 3);
  configuration.settings.max_open_requests =
      configuration.settings.max_open_requests > 0
          ? std::min(configuration.settings.max_open_requests, third)
          : third;
  // A list of that name is the platform's own field with the fronts' addresses, not the peers
  // block: reading it as the block would keep fronts from starting on such a platform.
  if (const Value* peers = root->Find("peers"); peers && peers->kind != Kind::kArray) {
    if (peers->kind != Kind::kObject)
      throw std::runtime_error("peers: must be an object");
    configuration.peers = ReadPeersSettings(*peers);
  }
  if (const Value* fleet = root->Find("fleet")) {
    if (fleet->kind != Kind::kObject)
      throw std::runtime_error("fleet: must be an object");
    configuration.fleet =
        ReadFleetSettings(*fleet, configuration.peers, configuration.connection_settings.zones,
                          configuration.settings.zone);
  }
  if (const Value* owner = root->Find("owner")) {
    if (owner->kind != Kind::kObject)
      throw std::runtime_error("owner: must be an object");
    configuration.owner = ReadOwnerSettings(*owner, configuration.peers);
  }
  ReadFleetLayerSettings(*root, configuration);
  return configuration;
}

}  // namespace dunlinwick::front
