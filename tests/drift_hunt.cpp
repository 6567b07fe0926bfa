// Run manually: drift_hunt FIRST LAST [FLAW] runs the drift simulation with each seed from FIRST to
// LAST, prints the first 20 seeds that have a fault, and totals.
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
                last = std::strtoull(argv[2], nullptr, 10), faulty_runs = 0, deviations_due = 0,
                found_in_bound = 0, ended_before = 0, repairs = 0;
  auto flaw = static_cast<rig::DriftFlaw>(argc > 3 ? std::atoi(argv[3]) : 0);
  std::vector<double> detection_times;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    rig::DriftRun run = rig::PlayDrift(seed, flaw);
    deviations_due += run.owed;
    found_in_bound += run.met;
    ended_before += run.ended;
    repairs += run.repairs;
    detection_times.insert(detection_times.end(), run.found_after.begin(), run.found_after.end());
    if (run.faults.empty())
      continue;
    ++faulty_runs;
    if (faulty_runs <= 20)
      std::printf("seed %llu (%zu fronts, loss %g): %s\n", static_cast<unsigned long long>(seed),
                  run.fronts, run.loss, run.faults[0].c_str());
  }
  std::sort(detection_times.begin(), detection_times.end());
  std::printf(
      "%s: %llu runs, %llu with faults; deviations owed %llu, found by all in bound %llu, ended "
      "before %llu; taken up %llu\n",
      rig::ToString(flaw), static_cast<unsigned long long>(last - first + 1),
      static_cast<unsigned long long>(faulty_runs), static_cast<unsigned long long>(deviations_due),
      static_cast<unsigned long long>(found_in_bound),
      static_cast<unsigned long long>(ended_before), static_cast<unsigned long long>(repairs));
  if (!detection_times.empty())
    std::printf("named by all after p50 %.0f p99 %.0f most %.0f ms\n",
                detection_times[detection_times.size() / 2],
                detection_times[detection_times.size() * 99 / 100], detection_times.back());
  return faulty_runs != 0;
}
