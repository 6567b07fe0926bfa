// Exploration of the record's keepers and writers on small bounds: every order of messages, each of
// which may be lost, with the faults given.
#pragma once
#include <cstdint>
#include <string>

struct ExploreTerms {
  int puts = 2;
  int ticks = 0;          // ticks: of each writer, beyond its first
  bool crash = false;     // one keeper ends and starts, before or after a call of its disk
  bool old_copy = false;  // one disk comes back as it was at some earlier moment
  bool doubt = false;
  bool rewrite_all = false;
  bool first_majority = false;
  std::size_t most = 200000;
};
struct Explored {
  std::size_t states = 0;
  bool whole = true;
  std::size_t acknowledged = 0;  // states in which something is
  std::string found;
};
Explored Explore(const ExploreTerms& terms);
