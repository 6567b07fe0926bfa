// What a front is told at its start: who it is, where it listens, whom it knows, and the sheet.
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

// The peers block: one UDP socket for what fronts tell each other (src/peers/,
// src/front/peers.hpp). Off where the configuration has none. Fleet and owner blocks without a
// `listen` of their own run over it, by its ids.
struct PeersTerms {
  bool on = false;
  std::uint32_t self = 0;
  loop::Address listen{};
  std::map<std::uint32_t, loop::Address> at;  // self among them
};

// The fleet block: membership and the verdict in common among fronts (src/members/, src/failover/).
// Off where the configuration has none. It opens one UDP socket, `listen`, or runs over the peers'
// one.
struct FleetMember {
  std::uint32_t id = 0;
  loop::Address at{};  // where this front sends to reach it; over peers: unset
  int zone = 0;
};
struct FleetTerms {
  bool on = false;
  bool over_peers = false;
  std::uint32_t self = 0;
  loop::Address listen{};
  std::vector<FleetMember> members;  // self among them
  std::vector<std::string> zones;
  std::vector<int> zone_region;
  members::Terms swim;
  failover::Terms verdict;
  bool steer = false;  // whether pulls follow the verdict
  std::size_t platform_zones =
      0;  // with steer: the platform's zones, and which of them each zone here is
  std::vector<std::size_t> platform_zone;
};

// The owner block: one owner at a time for the fleet's work (src/owner/). Off where the
// configuration has none. It opens one UDP socket, `listen`, and, in a member of the group with a
// `store`, a folder there.
struct OwnerTerms {
  struct Work {
    std::string name;
    std::uint64_t steps = 1;
    double each = 50;
    std::vector<std::uint32_t> places;
    bool standing = false;  // held without steps: to own it is the work
  };
  bool on = false;
  bool over_peers = false;
  std::uint32_t self = 0;
  loop::Address listen{};
  std::map<std::uint32_t, loop::Address> at;  // fronts and places, by id; over peers: places
  std::vector<std::uint32_t> group;
  std::string store;  // "": in memory
  owner::Terms lease;
  owner::GroupTerms raft;
  std::vector<Work> works;
};

constexpr std::size_t kLeastDescriptors = 64;  // with fewer there are none left for caches

struct Configuration {
  std::string name;
  std::string discovery_text;
  loop::Address listen{};
  loop::Address discovery{};
  std::uint64_t seed = 0;
  std::size_t descriptors = 0;  // at least `leastDescriptors`
  double memory_mb = 0;
  json::Value known;  // the notice board's events up to now
  DeploymentSettings settings;
  settings::ConnectionSettings terms;
  PeersTerms peers;
  FleetTerms fleet;
  OwnerTerms owner;
  RecordTerms record;
  RecoveryTerms recovery;
  RulesTerms rules;
};

// Whether this build has the peers' socket and ownership; else their blocks are refused.
bool PartsBuilt();
PeersTerms ReadPeers(const json::Value& block);  // throws, as below
void ReadLayer(const json::Value& all,
               Configuration& into);  // blocks record, recovery, rules; throws, as below

// Throws std::runtime_error with one line that says what is wrong. `listen`: in place of the
// file's, if given.
Configuration ReadConfiguration(const std::string& path, const std::string& listen);
// The same of a text; `named` is what a fault calls it.
Configuration ReadConfigurationText(const std::string& text, const std::string& named,
                                    const std::string& listen);

}  // namespace dunlinwick::front
