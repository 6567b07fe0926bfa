// Looks for seeds with which a drill breaks a rule or loses most, and cuts a failing script down to
// the smallest that still breaks the same rule.
#pragma once
#include "drill/run.hpp"

namespace dunlinwick::drill {

struct HuntOptions {
  std::uint64_t first = 1;
  std::uint64_t seeds = 100;
  int jobs = 1;
  double vary =
      0;  // times, lengths, factors and counts of troubles move by up to this share, by the seed
  int worst = 5;          // of the seeds that break nothing, the ones of least service to tell
  int shrink_runs = 150;  // at most, for one failing script; 0: none is cut down
  int shrink_most = 3;    // failing scripts that are cut down
  Breaker breaker;
  std::function<void(std::uint64_t done)> progress;  // called under a lock, from any thread
};

struct Found {
  std::uint64_t seed = 0;
  Script script;  // as it was played
  double service = 0;
  std::uint64_t digest = 0;
  std::vector<rules::Violation> breaches;
};

struct Hunted {
  std::uint64_t played = 0;
  std::vector<Found> failing;  // by seed
  std::vector<Found> worst;    // by service
  struct Shrunk {
    std::uint64_t seed = 0;
    rules::Invariant rule = rules::Invariant::kFinalResponse;
    Script script;
    int runs = 0;
  };
  std::vector<Shrunk> shrunk;
  std::uint64_t digest =
      0;  // of all digests in the order of seeds: the same whatever the number of jobs
};

Script Varied(const Script& script, std::uint64_t seed, double by);
Hunted Hunt(const Script& script, const HuntOptions& options);

// `script` breaks `rule` with `seed`; returns the smallest found within `most` runs that does.
Script Shrink(const Script& script, std::uint64_t seed, rules::Invariant rule,
              const Breaker& breaker, int most, int& runs);

}  // namespace dunlinwick::drill
