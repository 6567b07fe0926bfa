// Staged figures of membership and the verdict in common, in fleets of 5, 50 and 300 over three
// zones; emulated (src/rig/sim), no sockets. An argument names one size. For each size:
// - a member killed at 10 s: when each other member takes it for dead;
// - a whole zone's members killed at 10 s: when each other member keeps the verdict that leaves it;
// - an hour's worth of 30% loss on every link, and of one member paused for 5 s every 20 s: members
// that took a living,
//   running one for dead, and verdicts that left a zone that was there.
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <vector>

#include "rig/sim.hpp"

using namespace dunlinwick;

namespace {

fleet::SimTerms Terms(std::size_t n, int seed) {
  fleet::SimTerms t;
  // Zones a and b in one region, c in another; of five, c has the last alone.
  for (std::size_t i = 0; i < n; ++i) {
    int zone = static_cast<int>(n == 5 ? i / 2 : i % 3);
    t.places.push_back({zone, zone == 2});
  }
  t.zone_region = {0, 0, 1};
  t.seed = static_cast<std::uint64_t>(seed);
  return t;
}

double Quantile(std::vector<double>& v, double q) {
  std::sort(v.begin(), v.end());
  return v.empty() ? -1 : v[static_cast<std::size_t>(q * static_cast<double>(v.size() - 1))];
}

void Row(std::size_t n) {
  const int seeds = n == 300 ? 3 : 10;
  const double lossy_ms = n == 300 ? 60000 : 180000;
  std::vector<double> detect, judge;
  double msgs = 0, bytes = 0, seconds = 0;
  double loss_deaths = 0, loss_verdicts = 0, pause_deaths = 0, pause_verdicts = 0, hours = 0;
  int missed = 0;
  for (int seed = 1; seed <= seeds; ++seed) {
    fleet::SimTerms t = Terms(n, seed);
    {
      fleet::Sim sim(t);
      sim.RunUntil(10000);
      sim.Kill(0);
      sim.RunUntil(40000);
      for (const fleet::Seen& s : sim.seen())
        if (s.about == 0 && s.state == members::State::kDead && s.at >= 10000)
          detect.push_back(s.at - 10000);
      msgs += static_cast<double>(sim.Messages());
      bytes += static_cast<double>(sim.bytes());
      seconds += 40.0 * static_cast<double>(n);
    }
    {
      fleet::Sim sim(t);
      sim.RunUntil(10000);
      for (members::Id id = 0; id < n; ++id)
        if (t.places[id].zone == 2)
          sim.Kill(id);
      sim.RunUntil(60000);
      for (const fleet::Judged& j : sim.judged())
        if (j.out == 4)
          judge.push_back(j.at - 10000);
      for (members::Id id = 0; id < n; ++id)
        missed += sim.Up(id) && sim.verdicts(id).decision().unavailable_zones != 4;
    }
    fleet::Sim lossy(t);
    lossy.Everywhere([](fleet::Link& l) { l.loss = 0.3; });
    lossy.RunUntil(lossy_ms);
    for (const fleet::Seen& s : lossy.seen())
      loss_deaths += s.state == members::State::kDead;
    for (const fleet::Judged& j : lossy.judged())
      loss_verdicts += j.out != 0;
    fleet::Sim paused(t);
    for (double at = 10000; at + 20000 <= lossy_ms; at += 20000) {
      paused.RunUntil(at);
      paused.Pause(1);
      paused.RunUntil(at + 5000);
      paused.Resume(1);
    }
    paused.RunUntil(lossy_ms);
    for (const fleet::Seen& s : paused.seen())
      pause_deaths += s.state == members::State::kDead && s.about != 1;
    for (const fleet::Judged& j : paused.judged())
      pause_verdicts += j.out != 0;
    hours += lossy_ms / 3600e3;
  }
  std::printf(
      "%3zu members, %d seeds: detect p50 %.0f p99 %.0f ms; verdict p50 %.0f p99 %.0f ms, missed "
      "by %d; "
      "%.1f datagrams and %.0f bytes a front a second\n"
      "    in an hour: 30%% loss: %.0f false deaths, %.0f false verdicts; a pause of 5 s in 20: "
      "%.0f and %.0f\n",
      n, seeds, Quantile(detect, 0.5), Quantile(detect, 0.99), Quantile(judge, 0.5),
      Quantile(judge, 0.99), missed, msgs / seconds, bytes / seconds, loss_deaths / hours,
      loss_verdicts / hours, pause_deaths / hours, pause_verdicts / hours);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc > 1) {
    Row(static_cast<std::size_t>(std::strtoul(argv[1], nullptr, 10)));
    return 0;
  }
  for (std::size_t n : {5, 50, 300})
    Row(n);
}
