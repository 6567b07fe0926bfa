// Floors by what all disks say together, and disks found out. Pure; rows bounded by the fronts of
// the fleet.
#pragma once
#include <string>
#include <vector>

#include "recovery/recovery.hpp"

namespace dunlinwick::recovery {

struct Claim {  // one front's disk, as it tells
  StoreSeen::State store = StoreSeen::State::kNone;
  Floors floors;
  std::uint64_t of_us = 0;  // incarnation it has seen of this front
};
inline bool Sound(StoreSeen::State s) {
  return s == StoreSeen::State::kGood || s == StoreSeen::State::kHoled;
}

// The highest of all sound claims (this front's own among them). Where so many disks are sound that
// they are a majority of the fleet, nothing counts that is further above what a majority knows than
// `ahead`. `incarnation`: this front's own, by its disk or most witnesses.
Floors Together(const std::vector<Claim>& others, const Claim& own, std::size_t fronts,
                const Terms& terms);
// Why this front's own disk is not to be trusted; empty: nothing against it is known.
std::string FoundOut(const std::vector<Claim>& others, const Claim& own, std::size_t fronts,
                     const Terms& terms);
// The incarnation that most of those who have seen this front say at least; 0: nobody has.
std::uint64_t ByWitnesses(const std::vector<Claim>& others);

}  // namespace dunlinwick::recovery
