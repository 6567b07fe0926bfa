// State-space exploration of the record's log replicas and leader writers within small bounds:
// every order of messages, each of which may be lost or repeated, with the given faults.
#pragma once
#include <cstdint>
#include <string>

struct ExploreSettings {
  int puts = 2;
  int ticks = 0;                // of each leader writer, after its first
  bool crash = false;           // one replica restarts, before or after a storage call
  bool roll_back_disk = false;  // one disk comes back in an earlier state
  bool distrust_restarted = false;
  bool rewrite_whole_tail = false;
  bool commit_without_majority = false;
  std::size_t max_states = 200000;
};
struct ExploreResult {
  std::size_t states = 0;
  bool complete = true;
  std::size_t acknowledged_states = 0;  // states in which an entry is acknowledged
  std::string finding;
};
ExploreResult Explore(const ExploreSettings& settings);
