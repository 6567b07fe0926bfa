// One seeded run of faults for the drift rig: what tests, searches by hand and broken variants all
// play.
#pragma once
#include "rig/drift_judge.hpp"
#include "rig/driftsim.hpp"

namespace dunlinwick::rig {

struct DriftRun {
  std::vector<std::string> faults;
  std::vector<Ms> found_after;
  std::uint64_t owed = 0;
  std::uint64_t met = 0;
  std::uint64_t ended = 0;
  std::uint64_t repairs = 0;
  double loss = 0;
  std::size_t fronts = 0;
};
CanonicalConfiguration DriftForm(int limit, int memory = 60000);
DriftRun PlayDrift(std::uint64_t seed, DriftFlaw flaw = DriftFlaw::kNone);

}  // namespace dunlinwick::rig
