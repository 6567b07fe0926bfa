// The site of a drill: every number that the brief gives as a range, drawn once from the seed, and
// what follows from them: machines, links, who stands where, and the configuration that a front is
// handed.
#pragma once
#include <string>
#include <vector>

#include "drill/cast.hpp"
#include "drill/script.hpp"

namespace dunlinwick::drill {

struct SiteFront {
  std::string name;
  int store = 0;
};

struct Site {
  world::ModelSettings terms;
  std::vector<world::ServerSettings> makes;  // caches, area caches, the head office
  std::vector<SiteFront> fronts;
  std::vector<double> link_capacity;
  std::vector<double> traffic;  // by store: transfers; share of the pulls
  std::vector<int> crews;       // by store: fronts
  double requests_per_s = 0;
  Ms store_way = 0.3;
  Ms hub_way = 3;
  Ms client_way = 5;  // one way
  Ms notice = 2000;
  Ms silent_notice = 8000;
  Ms add_notice = 1000;
  Ms client_notice = 2000;
  Ms purge_notice = 250;
  double honour = 0.6;
};

Site SiteFor(const Script& script, std::uint64_t seed);

// One machine as the notice board lists it.
std::string Listing(const world::ServerSettings& make, const std::string& at, const char* state);

// The fleet block of a front's configuration; `members`: where each front of the site is heard, in
// its order.
std::string FleetBlock(const Site& site, const SiteFront& front,
                       const std::vector<std::string>& members);

// The JSON that a front reads at its start. `known`: what the board tells at that time; `fleet`: ""
// or its block.
std::string Configuration(const Script& script, const Site& site, const SiteFront& front,
                          const std::string& listen, const std::string& discovery,
                          std::uint64_t seed, const std::string& known, const std::string& fleet);

}  // namespace dunlinwick::drill
