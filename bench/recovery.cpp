// Back from a loss of all power, emulated (src/rig/recoverysim), no sockets: from power back to the
// first front's first safe answer (and to the first of what is kept), to 95% of goodput, and the
// peak of fills at head office against a usual day's; ordered against all at once. 5, 50 and 300
// fronts. dunlinwick_recovery_bench [seeds] [most fronts] [least fronts]
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "rig/recoverysim.hpp"

using namespace dunlinwick;

int main(int argc, char** argv) {
  std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 5;
  int most = argc > 2 ? std::atoi(argv[2]) : 300, least = argc > 3 ? std::atoi(argv[3]) : 5;
  for (int fronts : {5, 50, 300})
    for (bool at_once : {false, true}) {
      if (fronts > most || fronts < least)
        break;
      std::vector<double> safe, kept, good, peak, parents;
      std::uint64_t never = 0;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        rig::RecoverySimTerms t = rig::Usual(fronts, 3);
        t.bytes = false;
        t.breaks.at_once = at_once;
        rig::RecoverySim sim(t, seed);
        sim.late_stopped = false;
        auto run = sim.Run(rig::Fault::kAll);
        safe.push_back(run.first_safe);
        kept.push_back(run.first_kept);
        parents.push_back(run.peak_parents);
        peak.push_back(run.peak_office / run.usual_office);
        if (run.goodput95 < 0)
          ++never;
        else
          good.push_back(run.goodput95);
      }
      auto middle = [](std::vector<double>& v) {
        return v.empty() ? -1.0 : (std::sort(v.begin(), v.end()), v[v.size() / 2]);
      };
      std::printf(
          "%3d fronts, %s: first safe answer %.2f s (of what is kept, %.2f s), "
          "95%% of goodput %.1f s (not within the run: %llu of %llu), "
          "peak asked of parents %.2f of what they bear, peak at head office %.1f of usual\n",
          fronts, at_once ? "all at once" : "ordered", middle(safe) / 1000, middle(kept) / 1000,
          middle(good) / 1000, static_cast<unsigned long long>(never),
          static_cast<unsigned long long>(seeds), middle(parents), middle(peak));
      std::fflush(stdout);
    }
}
