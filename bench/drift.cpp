// Staged figures of rules in step, emulated (src/rig/driftsim), no sockets: a change by hand in one
// front's memory until all fronts' verdicts in common name it, by gossip, and until one poller that
// asks every front in turn names it (and, told, all know), at 5, 50 and 300 fronts; datagrams a
// front a second, bytes of one, and what the busiest place carries. drift_bench [SEEDS] [LOSS].
#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>
#include <vector>

#include "rig/drift_judge.hpp"
#include "rig/drift_script.hpp"

using namespace dunlinwick;
using drift::Ms;

namespace {

double At(std::vector<Ms>& all, double p) {
  std::sort(all.begin(), all.end());
  return all.empty() ? -1 : all[static_cast<std::size_t>(p * static_cast<double>(all.size() - 1))];
}

// The central poll: each round it asks every front for its digest; the same word twice is a
// verdict, which it then sends to all; each of the three words may be lost. Its own death, which
// leaves nobody who finds anything, is not in the figure.
Ms Polled(std::size_t fronts, Ms round, int steady, double loss, std::knuth_b& random) {
  std::uniform_real_distribution<double> u(0, 1);
  Ms t = u(random) * round;
  for (int same = 0; same < steady; t += round)
    if (u(random) >= loss && u(random) >= loss)
      ++same;
  Ms last = t;
  for (std::size_t i = 0; i < fronts; ++i) {
    Ms at = t + 60 * u(random);
    while (u(random) < loss)
      at += round;
    last = std::max(last, at);
  }
  return last;
}

}  // namespace

int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  std::uint64_t seeds = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20;
  double loss = argc > 2 ? std::atof(argv[2]) : 0;
  for (std::size_t n : {5, 50, 300}) {
    std::vector<Ms> all, first, poll;
    double per_front = 0, size = 0, bound = 0;
    std::size_t missed = 0;
    std::uint64_t runs = n == 300 ? std::max<std::uint64_t>(1, seeds / 10) : seeds;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
      rig::DriftSimTerms t;
      t.fronts = n;
      t.zones = n < 6 ? 2 : 6;
      t.owners = false;
      t.loss = loss;
      t.via_bytes = true;
      rig::DriftSim sim(t, seed);
      sim.Approve("fleet", rig::DriftForm(1), 3000);
      sim.RunUntil(20000);
      std::uint64_t datagrams = sim.Datagrams(), bytes = sim.bytes();
      sim.RunUntil(25000);
      per_front += static_cast<double>(sim.Datagrams() - datagrams) / 5 / static_cast<double>(n);
      size += static_cast<double>(sim.bytes() - bytes) /
              static_cast<double>(sim.Datagrams() - datagrams);
      Ms from = 25000 + 37.0 * static_cast<double>(seed % 13), one = -1, last = -1;
      sim.RunUntil(from);
      sim.ByHand(2, rig::DriftForm(2));
      bound = drift::DetectionBound(sim.Honest()) + drift::LossAllowance(sim.Honest(), loss);
      while (last < 0 && sim.now() < from + 60000) {
        sim.RunUntil(sim.now() + 50);
        std::size_t know = 0;
        for (auto id : sim.Ids())
          know += drift::IsDeviating(sim.at(id).FrontStates().at(2).status);
        if (know != 0 && one < 0)
          one = sim.now() - from;
        if (know == n)
          last = sim.now() - from;
      }
      if (last < 0 || last > bound)
        ++missed;
      if (last >= 0) {
        all.push_back(last);
        first.push_back(one);
      }
      for (const std::string& f : sim.CheckHistory().faults)
        std::printf("  %s\n", f.c_str());
    }
    std::knuth_b random(7);
    for (int i = 0; i < 2000; ++i)
      poll.push_back(Polled(n, 500, 2, loss, random));
    std::printf(
        "%zu fronts, loss %g: named by the first p50 %.0f p99 %.0f, by all p50 %.0f p99 %.0f most "
        "%.0f ms; stated %.0f, over it %zu of %llu\n",
        n, loss, At(first, 0.5), At(first, 0.99), At(all, 0.5), At(all, 0.99), At(all, 1), bound,
        missed, static_cast<unsigned long long>(runs));
    std::printf(
        "  at rest %.1f datagrams a front a second sent, as many received, of %.0f bytes; central "
        "poll: all p50 %.0f p99 %.0f ms, 4 a front, %zu at the poller\n",
        per_front / static_cast<double>(runs), size / static_cast<double>(runs), At(poll, 0.5),
        At(poll, 0.99), 4 * n);
  }
}
