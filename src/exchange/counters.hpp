// What a front takes in, sends and answers, counted since its start.
#pragma once
#include <array>
#include <cstdint>

#include "logic.hpp"

namespace dunlinwick::exchange {

struct Counters {
  using Count = std::uint64_t;
  Count requests = 0;
  Count finished = 0;
  Count unchanged = 0;
  Count declined = 0;
  Count abandoned = 0;
  Count left = 0;
  Count broken_midway = 0;
  Count attempts = 0;
  Count fills = 0;
  Count attempts_finished = 0;
  Count misses = 0;
  Count full = 0;
  Count errors = 0;
  Count timed_out = 0;
  Count superseded = 0;
  Count never_ran = 0;
  Count broken = 0;
  Count cancelled = 0;
  Count late_answers = 0;
  Count probes = 0;
  Count probes_answered = 0;
  Count calls = 0;
  Count client_connections = 0;
  Count cache_connections = 0;
  Count bad_requests = 0;
  Count bad_lines = 0;
  Count stalled = 0;
  Count silent = 0;
  Count bad_watch_events = 0;
  Count list_news = 0;
  Count purges = 0;
  Count discovery_connections = 0;
  Count short_of_descriptors = 0;
  Count reloads = 0;
  /// Of `declined`: why, and by the request's size beside its class's mean.
  std::array<std::array<Count, kSizeBands>, kRejectionReasons> refused{};
};

}  // namespace dunlinwick::exchange
