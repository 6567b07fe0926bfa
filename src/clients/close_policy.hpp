/// Whether the front may end a client's connection. A request that was read and then got no answer
/// counts as lost, so this is the one place that decides it: a pure function of the connection's
/// state.
#pragma once
#include "loop/ground.hpp"

namespace dunlinwick::clients {

using loop::Ms;

/// Every reason for which the front ends a client's connection.
enum class CloseReason {
  kClientLeft,            ///< the client closed it, or it broke: nobody is there to answer
  kLastAnswerSent,        ///< the answer that announced the close, or broke off, is out
  kIdleTimeout,           ///< nothing came for too long
  kMakeRoom,              ///< others wait for a place or a descriptor
  kServerStops,           ///< the front stops
  kAnswerNotTaken,        ///< the client takes nothing of an answer
  kAnswerNotTakenInStop,  ///< the same while the front stops
  kDrainOver,             ///< half-closed, and read on for long enough
  kDrainOverInStop,       ///< the same while the front stops
  kTooManyDraining,       ///< half-closed, and a newer one takes its place
};

/// What a connection still owes and is owed.
struct ConnectionState {
  bool request_open = false;  ///< a request has no final answer yet
  bool bytes_unanswered =
      false;  ///< a request, or a part of one, was read and not looked at to its end
  bool output_pending = false;  ///< bytes of an answer are not written yet
  bool last_answer_said =
      false;                 ///< the answer in `output_pending`, or before it, announced the close
  bool half_closed = false;  ///< the way out is shut
  bool served = false;       ///< a whole request has come on it
  Ms quiet_for =
      0;  ///< since it was accepted, its last request came, or its last answer was written
  Ms overdue_for = 0;  ///< since the deadline of its last request
};

/// True where an end for this reason takes no answer from a request that was read. Ask again after
/// reading what has arrived.
[[nodiscard]] bool MayClose(CloseReason reason, const ConnectionState& state);

/// True where a part of a request has waited so long for the rest that, for want of places, it may
/// be refused with an answer.
[[nodiscard]] bool MayRefuseForRoom(const ConnectionState& state);

/// How long a connection that has carried no request yet is spared when room is made: its request
/// may be on its way. As long as a request takes that crosses a close; a crowd of silent clients
/// keeps the others waiting for no longer than this, place by place.
constexpr Ms kNewcomerGrace = 50;

}  // namespace dunlinwick::clients
