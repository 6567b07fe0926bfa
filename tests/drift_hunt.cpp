// By hand: drift_hunt FIRST LAST [FLAW]: seeded runs of the drift rig; prints each seed with a
// fault, and sums.
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "rig/drift_script.hpp"

int main(int argc, char** argv) {
  using namespace dunlinwick;
  if (argc < 3) {
    std::fprintf(stderr, "drift_hunt FIRST LAST [FLAW]\n");
    return 2;
  }
  std::uint64_t first = std::strtoull(argv[1], nullptr, 10),
                last = std::strtoull(argv[2], nullptr, 10), badly = 0, owed = 0, met = 0, ended = 0,
                repairs = 0;
  auto flaw = static_cast<rig::DriftFlaw>(argc > 3 ? std::atoi(argv[3]) : 0);
  std::vector<double> after;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    rig::DriftRun r = rig::PlayDrift(seed, flaw);
    owed += r.owed;
    met += r.met;
    ended += r.ended;
    repairs += r.repairs;
    after.insert(after.end(), r.found_after.begin(), r.found_after.end());
    if (r.faults.empty())
      continue;
    ++badly;
    if (badly <= 20)
      std::printf("seed %llu (%zu fronts, loss %g): %s\n", static_cast<unsigned long long>(seed),
                  r.fronts, r.loss, r.faults[0].c_str());
  }
  std::sort(after.begin(), after.end());
  std::printf(
      "%s: %llu runs, %llu with faults; deviations owed %llu, found by all in bound %llu, ended "
      "before %llu; taken up %llu\n",
      rig::ToString(flaw), static_cast<unsigned long long>(last - first + 1),
      static_cast<unsigned long long>(badly), static_cast<unsigned long long>(owed),
      static_cast<unsigned long long>(met), static_cast<unsigned long long>(ended),
      static_cast<unsigned long long>(repairs));
  if (!after.empty())
    std::printf("named by all after p50 %.0f p99 %.0f most %.0f ms\n", after[after.size() / 2],
                after[after.size() * 99 / 100], after.back());
  return badly != 0;
}
