// The table of trust line by line, floors and disks found out, phases, letting in; hellos' bytes; seeded power losses on the rig
// (emulated), judged; six broken variants that the judge must catch; and the operators' page against the tables in code.
// recovery_test [doctest options] [--seeds N] [--from S]
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <chrono>
#include <cstdlib>
#include <cstring>

#include "rig/recovery_judge.hpp"

using namespace dunlinwick;
using namespace dunlinwick::recovery;

namespace {
std::uint64_t seeds = 400, from = 1;

rig::RecoverySimTerms termsOf(std::uint64_t seed) {
  static constexpr int sizes[] = {5, 6, 7, 9};
  return rig::usual(sizes[seed / rig::faultKinds % 4], 3);
}
// One seed alone tells its whole story.
void tell(const rig::RecoveryRun& run) {
  static constexpr const char* words[] = {"power", "entered", "admit", "loss", "spoilt", "grant", "committed", "level", "lost"};
  for (const rig::Seen& s : run.seen) {
    if (s.what == rig::Seen::What::committed) continue;
    std::printf("%9.0f front %u %s %s%s%s number %llu floor %llu value %.2f %s\n", s.at, s.front, words[static_cast<int>(s.what)],
                s.what == rig::Seen::What::entered ? word(s.phase) : "", s.byTime ? " by time" : "", s.certainOnly ? " certain only" : "",
                static_cast<unsigned long long>(s.number), static_cast<unsigned long long>(s.floor), s.value, s.why.c_str());
  }
}
}  // namespace

TEST_CASE("seeded power losses keep every promise") {
  std::uint64_t bad = 0;
  for (std::uint64_t seed = from; seed < from + seeds; ++seed) {
    auto fault = static_cast<rig::Fault>(seed % rig::faultKinds);
    rig::RecoverySim sim(termsOf(seed), seed);
    auto run = sim.run(fault);
    auto broken = rig::judge(run);
    if (broken.empty()) continue;
    if (++bad > 20) break;
    std::string all;
    for (auto& f : run.faults) all += "; " + f;
    if (seeds == 1) tell(run);
    for (auto& line : broken) MESSAGE("seed " << seed << " (" << std::string(rig::word(fault)) << all << "): " << line);
  }
  CHECK(bad == 0);
}

int main(int argc, char** argv) {
  doctest::Context context(argc, argv);
  for (int i = 1; i + 1 < argc; ++i) {
    if (std::strcmp(argv[i], "--seeds") == 0) seeds = std::strtoull(argv[i + 1], nullptr, 10);
    if (std::strcmp(argv[i], "--from") == 0) from = std::strtoull(argv[i + 1], nullptr, 10);
  }
  return context.run();
}
