/// Decides whether the front may close a client's connection. A request that was read and gets no
/// response counts as lost, so this is the only place that decides it: a pure function of the
/// connection's state.
#pragma once
#include "loop/environment.hpp"

namespace dunlinwick::clients {

using loop::Ms;

/// Every reason for which the front closes a client's connection.
enum class CloseReason {
  kClientDisconnected,  ///< the client closed it, or it broke: nobody would receive a response
  kFinalResponseSent,   ///< the response that announced the close, or was aborted, has been sent
  kIdleTimeout,         ///< no request arrived for too long
  kSlotNeeded,          ///< new connections wait for a connection slot or a file descriptor
  kShutdown,            ///< the front shuts down
  kWriteStalled,        ///< the client does not read its response
  kWriteStalledInShutdown,   ///< the same during shutdown
  kLingerTimeout,            ///< half-closed, and the linger time is over
  kLingerTimeoutInShutdown,  ///< the same during shutdown
  kMemoryNeeded,      ///< the front holds too much for its clients, and this one does not read
  kTooManyLingering,  ///< half-closed, and a newer one needs its lingering slot
};

/// What is outstanding on a connection in either direction.
struct ConnectionState {
  bool request_open = false;  ///< a request has no final response yet
  bool has_unprocessed_input =
      false;                    ///< a request, or a part of one, was read and not fully processed
  bool output_pending = false;  ///< bytes of a response are not written yet
  bool close_announced =
      false;  ///< the response that is being written, or was written last, announced the close
  bool half_closed = false;  ///< the sending direction is shut down
  bool has_served = false;   ///< a complete request has arrived on it
  Ms since_last_activity =
      0;  ///< since it was accepted, its last request arrived, or its last response was written
  Ms overdue_for = 0;  ///< since the deadline of its last request
};

/// True if closing for this reason deprives no request that was read of its response. Call it again
/// after reading what has arrived.
[[nodiscard]] bool MayClose(CloseReason reason, const ConnectionState& state);

/// What a partial request is given up for.
enum class SlotOrMemory {
  kSlot,   ///< new connections wait for a connection slot
  kMemory  ///< the front holds more for its clients than it may
};
/// True if a partial request may be rejected with a response: for a slot, once it has waited some
/// time for its remainder; for memory, at once.
[[nodiscard]] bool MayRejectPartialRequest(SlotOrMemory needed, const ConnectionState& state);

/// How long a connection that has carried no request yet is kept when a connection slot is needed:
/// its request may be in transit. As long as a request that crosses a close takes; many silent
/// clients delay each waiting connection by no more than this.
constexpr Ms kNewConnectionGrace = 50;

}  // namespace dunlinwick::clients
