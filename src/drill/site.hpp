// The site of a drill: every number that the brief gives as a range, drawn once from the seed, and what follows
// from them: machines, links, who stands where, and the configuration that a front is handed.
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
  world::Terms terms;
  std::vector<world::Make> makes;  // caches, area caches, the head office
  std::vector<SiteFront> fronts;
  std::vector<double> linkCapacity, traffic;  // by store: transfers; share of the pulls
  std::vector<int> crews;                     // by store: fronts
  double pullsPerS = 0;
  Ms storeWay = 0.3, hubWay = 3, clientWay = 5;  // one way
  Ms notice = 2000, silentNotice = 8000, addNotice = 1000, clientNotice = 2000, purgeNotice = 250;
  double honour = 0.6;
};

Site siteFor(const Script& script, std::uint64_t seed);

// One machine as the notice board lists it.
std::string listing(const world::Make& make, const std::string& at, const char* state);

// The fleet block of a front's configuration; `members`: where each front of the site is heard, in its order.
std::string fleetBlock(const Site& site, const SiteFront& front, const std::vector<std::string>& members);

// The JSON that a front reads at its start. `known`: what the board tells at that time; `fleet`: "" or its block.
std::string configuration(const Script& script, const Site& site, const SiteFront& front,
                          const std::string& listen, const std::string& board, std::uint64_t seed,
                          const std::string& known, const std::string& fleet);

}  // namespace dunlinwick::drill
