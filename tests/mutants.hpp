// Fronts broken on purpose, each at one seam: around the module, or between the process and its
// network. The checker must find every one by the rule it breaks, in a drill that the unbroken
// front passes.
#pragma once
#include <string>
#include <vector>

#include "drill/run.hpp"

namespace dunlinwick::mutants {

struct Mutant {
  std::string name;
  std::string what;
  rules::Invariant breaks;
  drill::Breaker breaker;
  std::string drill;  // JSON, as a script's file
};

const std::vector<Mutant>& All();

struct Verdict {
  bool caught = false;
  bool by_its_rule = false;
  bool unbroken_kept = false;
  std::uint64_t seed = 0;  // with which it was caught
  rules::Violation first;  // of its rule, where that was found
};
// Up to `seeds` runs until it is caught; the unbroken front plays the same.
Verdict Judge(const Mutant& mutant, std::uint64_t seeds);

}  // namespace dunlinwick::mutants
