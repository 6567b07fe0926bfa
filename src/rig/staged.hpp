// A script of faults on the staged members (src/rig/sim.hpp) in place of processes: the same
// script, the same checker, virtual time, one seed. There are no caches and no pulls there: lost
// caches are what the zone's fronts hold of them.
#pragma once
#include "rig/judge.hpp"
#include "rig/sim.hpp"

namespace dunlinwick::fleet {

SimTerms MakeSimTerms(const FleetFile& fleet, std::uint64_t seed);
History PlayStaged(const FleetFile& fleet, const Script& script, std::uint64_t seed);

}  // namespace dunlinwick::fleet
