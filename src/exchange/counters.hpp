// Counts, since the start of the process, of a front's client requests, attempts, responses and
// connections.
#pragma once
#include <array>
#include <cstdint>

#include "logic.hpp"

namespace dunlinwick::exchange {

struct Counters {
  using Count = std::uint64_t;
  Count requests = 0;
  Count succeeded = 0;
  Count not_modified = 0;
  Count rejected = 0;
  Count failed = 0;
  Count client_disconnects = 0;
  Count aborted_responses = 0;
  Count attempts = 0;
  Count fills = 0;
  Count attempts_succeeded = 0;
  Count misses = 0;
  Count shed = 0;
  Count errors = 0;
  Count timed_out = 0;
  Count superseded = 0;
  Count lost_unsent = 0;
  Count lost_after_send = 0;
  Count cancelled = 0;
  Count late_responses = 0;
  Count probes = 0;
  Count probes_answered = 0;
  Count liveness_checks = 0;
  Count client_connections = 0;
  Count cache_connections = 0;
  Count bad_requests = 0;
  Count malformed_responses = 0;
  Count stalled_connections = 0;
  Count silent_connections = 0;
  Count bad_watch_events = 0;
  Count list_updates = 0;
  Count purges = 0;
  Count discovery_connections = 0;
  Count unanswered_watches = 0;
  Count descriptor_shortages = 0;
  Count memory_shortages = 0;
  Count config_reloads = 0;
  /// The requests of `rejected`, by reason and by the request's size relative to the mean of its
  /// class.
  std::array<std::array<Count, kSizeBands>, kRejectionReasons> refused{};
};

}  // namespace dunlinwick::exchange
