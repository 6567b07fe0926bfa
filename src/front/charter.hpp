// The front configuration, read at the start: the front's name, where it listens, which endpoints
// it knows initially, the deployment settings and the blocks of the fleet layer.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "failover/verdict.hpp"
#include "front/layer_terms.hpp"
#include "members/swim.hpp"
#include "owner/group.hpp"
#include "peers/peers.hpp"

#include "json/json.hpp"
#include "loop/connection.hpp"
#include "sheet/sheet.hpp"

namespace dunlinwick::front {

// The peers block: one UDP socket for the messages between fronts (src/peers/,
// src/front/peers.hpp). Disabled when the configuration has none. Fleet and owner blocks without a
// `listen` of their own run over it, by its ids.
struct PeersSettings {
  bool enabled = false;
  std::uint32_t self = 0;
  loop::Address listen{};
  std::map<std::uint32_t, loop::Address> addresses;  // self among them
};

// The fleet block: membership among fronts and their common failover decision (src/members/,
// src/failover/). Disabled when the configuration has none. It opens one UDP socket, `listen`, or
// runs over the peers' socket.
struct FleetMember {
  std::uint32_t id = 0;
  loop::Address address{};  // where this front sends to reach it; over the peers' socket: unset
  int zone = 0;
};
struct FleetSettings {
  bool enabled = false;
  bool over_peers = false;
  std::uint32_t self = 0;
  loop::Address listen{};
  std::vector<FleetMember> members;  // self among them
  std::vector<std::string> zones;
  std::vector<int> zone_region;
  members::Settings swim;
  failover::FailoverSettings failover_settings;
  bool steer = false;  // whether requests follow the failover decision
  std::size_t platform_zone_count =
      0;  // with steer: the platform's zones, and which of them each zone here is
  std::vector<std::size_t> platform_zones;
};

// The owner block: one lease holder at a time for each task of the fleet's work (src/owner/).
// Disabled when the configuration has none. It opens one UDP socket, `listen`, and, in a member of
// the group with a `store`, a folder there.
struct OwnerSettings {
  struct LeasedTask {
    std::string name;
    std::uint64_t steps = 1;
    double step_time = 50;
    std::vector<std::uint32_t> executors;
    bool standing = false;  // has no steps: holding its lease is the work
  };
  bool enabled = false;
  bool over_peers = false;
  std::uint32_t self = 0;
  loop::Address listen{};
  // By id: fronts and executors; over the peers' socket: executors only.
  std::map<std::uint32_t, loop::Address> addresses;
  std::vector<std::uint32_t> group;
  std::string store;  // "": in memory
  owner::LeaseSettings lease;
  owner::RaftSettings raft;
  std::vector<LeasedTask> tasks;
};

constexpr std::size_t kMinDescriptors = 64;  // with fewer there are none left for caches

struct FrontConfiguration {
  std::string name;
  std::string discovery_text;
  loop::Address listen{};
  loop::Address discovery{};
  std::uint64_t seed = 0;
  std::size_t descriptors = 0;  // at least `kMinDescriptors`
  double memory_mb = 0;
  json::Value known_updates;  // the discovery service's updates up to the start
  DeploymentSettings settings;
  settings::ConnectionSettings connection_settings;
  PeersSettings peers;
  FleetSettings fleet;
  OwnerSettings owner;
  RecordSettings record;
  RecoverySettings recovery;
  RulesSettings rules;
};

// Whether this build has the peers' socket and the owner; if not, their blocks are rejected.
bool HasFleetComponents();
PeersSettings ReadPeersSettings(const json::Value& block);  // throws, as below
void ReadFleetLayerSettings(const json::Value& root,
                            FrontConfiguration& into);  // blocks record, recovery, rules; throws

// Throws std::runtime_error with one line that names the fault. `listen` replaces the address in
// the file, if it is not empty.
FrontConfiguration ReadConfiguration(const std::string& path, const std::string& listen);
// Parses a text; `source` names it in error messages.
FrontConfiguration ParseConfiguration(const std::string& text, const std::string& source,
                                      const std::string& listen);

}  // namespace dunlinwick::front
