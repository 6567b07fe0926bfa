// Staged figures of ownership, emulated (src/rig/ownersim), no sockets: datagrams a second while
// nothing is owned, and while two works are; handover after the loss of the owner (killed, stopped,
// cut off; lease 3 s), by 200 seeds each, from its last effect to the next owner's first.
#include <algorithm>
#include <cstdio>
#include <vector>

#include "rig/ownersim.hpp"

using namespace dunlinwick;

int main() {
  for (bool work : {false, true}) {
    fleet::OwnerTerms t;
    t.steps = work ? 100000 : 1;
    double between[2];
    for (int k = 0; k < 2; ++k) {
      fleet::OwnerSim sim(t, 1);
      sim.RunUntil(10000 + 20000 * k);
      between[k] = static_cast<double>(sim.result(false).datagrams);
    }
    std::printf("%s: %.1f datagrams a second over 5 fronts, 3 of them the group\n",
                work ? "two works, a step each 100 ms" : "at rest", (between[1] - between[0]) / 20);
  }
  for (int how = 0; how < 3; ++how) {
    std::vector<double> all;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
      fleet::OwnerTerms t;
      t.works = 1;
      t.steps = 100000;
      fleet::OwnerSim sim(t, seed);
      sim.RunUntil(8000 + 7.0 * static_cast<double>(seed));
      owner::Id who = sim.holder("work-0");
      if (who == 0)
        continue;
      if (how == 0)
        sim.Kill(who);
      if (how == 1)
        sim.Pause(who, true);
      if (how == 2)
        sim.Cut({who}, false, true, true);
      sim.RunUntil(sim.now() + 15000);
      auto times = owner::Handovers(sim.result(false).history);
      if (!times.empty())
        all.push_back(times.front());
    }
    std::sort(all.begin(), all.end());
    auto q = [&](double p) {
      return all.empty() ? -1
                         : all[static_cast<std::size_t>(p * static_cast<double>(all.size() - 1))];
    };
    static const char* const kWords[] = {"killed", "stopped", "cut off"};
    std::printf("owner %s: %zu handovers, p50 %.0f p99 %.0f ms\n", kWords[how], all.size(), q(0.5),
                q(0.99));
  }
}
