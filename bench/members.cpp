// Staged figures of membership and the verdict: a member killed at 10 s in fleets of 5, 50 and 300 (three zones, the
// killed member's zone kept by the others), and false deaths under 30% loss. Emulated: src/fleet/sim, no sockets.
#include <algorithm>
#include <cstdio>
#include <vector>

#include "fleet/sim.hpp"

using namespace dunlinwick;

int main() {
  std::printf("members  seeds  detect p50  p99 (ms, by each member)  msgs/front/s  bytes/front/s  false deaths/h at 30%% loss\n");
  for (std::size_t n : {5, 50, 300}) {
    std::vector<double> detect;
    double msgs = 0, bytes = 0, seconds = 0, falseDeaths = 0, lossHours = 0;
    const int seeds = n == 300 ? 3 : 10;
    for (int seed = 1; seed <= seeds; ++seed) {
      fleet::SimTerms t;
      for (std::size_t i = 0; i < n; ++i) t.places.push_back({static_cast<int>(i % 3), i % 3 == 2});
      t.zoneRegion = {0, 0, 1};
      t.seed = static_cast<std::uint64_t>(seed);
      fleet::Sim sim(t);
      sim.runUntil(10000);
      sim.kill(0);
      sim.runUntil(40000);
      for (const fleet::Seen& s : sim.seen())
        if (s.about == 0 && s.state == members::State::dead && s.at >= 10000) detect.push_back(s.at - 10000);
      msgs += static_cast<double>(sim.messages()), bytes += static_cast<double>(sim.bytes());
      seconds += 40.0 * static_cast<double>(n);
      fleet::Sim lossy(t);
      lossy.everywhere([](fleet::Link& l) { l.loss = 0.3; });
      lossy.runUntil(60000);
      for (const fleet::Seen& s : lossy.seen()) falseDeaths += s.state == members::State::dead;
      lossHours += 60.0 / 3600.0;
    }
    std::sort(detect.begin(), detect.end());
    auto at = [&](double q) { return detect.empty() ? -1 : detect[static_cast<std::size_t>(q * (detect.size() - 1))]; };
    std::printf("%7zu  %5d  %10.0f  %4.0f  %28.1f  %13.0f  %.0f\n", n, seeds, at(0.5), at(0.99), msgs / seconds,
                bytes / seconds, falseDeaths / lossHours);
  }
}
