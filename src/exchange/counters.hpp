// What a front takes in, sends and answers, counted since its start.
#pragma once
#include <cstdint>

namespace dunlinwick::exchange {

struct Counters {
  using Count = std::uint64_t;
  Count pulls = 0, finished = 0, unchanged = 0, declined = 0, abandoned = 0, left = 0, broken_midway = 0;
  Count legs = 0, fills = 0, legs_finished = 0, misses = 0, full = 0, errors = 0, timed_out = 0, moot = 0;
  Count never_ran = 0, broken = 0, cancelled = 0, late_answers = 0;
  Count probes = 0, probes_answered = 0, calls = 0;
  Count client_connections = 0, cache_connections = 0, bad_requests = 0, bad_lines = 0, stalled = 0, silent = 0,
        bad_notices = 0;
  Count list_news = 0, purges = 0, board_connections = 0, short_of_descriptors = 0, reloads = 0;
};

}  // namespace dunlinwick::exchange
