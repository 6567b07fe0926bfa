#include "clients/close_policy.hpp"

namespace dunlinwick::clients {
namespace {

// Clients close connections that were idle for 4 s. The front waits longer, so that no request
// crosses a close by the front.
constexpr Ms kIdleTimeout = 10000;
// For the first request of a connection: a client must see an end within 3 s, and timeouts are
// checked four times a second.
constexpr Ms kFirstRequestTimeout = 2500;
// For a client to read its response: longer than any request lasts, and bounded so that connections
// to dead peers end.
constexpr Ms kWriteTimeout = 15000;
// A response that comes this long after its deadline counts as lost.
constexpr Ms kResponseTooLate = 500;
// How long a half-closed connection is read. Closing with unread bytes resets the connection and
// discards the response that is still in the kernel's buffers. Shorter in a shutdown, whose
// duration is bounded; a request that crosses a close by the front does so within 50 ms.
constexpr Ms kLingerTime = 1000;
constexpr Ms kLingerTimeInShutdown = 200;
// For the remainder of a request while other connections wait for a slot.
constexpr Ms kPartialRequestGrace = 100;

bool IsIdle(const ConnectionState& state) {
  return !state.request_open && !state.has_unprocessed_input && !state.output_pending &&
         !state.close_announced;
}

bool IsStalled(const ConnectionState& state) {
  return !state.request_open && state.output_pending;
}

}  // namespace

bool MayClose(CloseReason reason, const ConnectionState& state) {
  switch (reason) {
    case CloseReason::kClientDisconnected:
      return true;
    case CloseReason::kFinalResponseSent:
      return state.close_announced && !state.request_open && !state.output_pending;
    case CloseReason::kIdleTimeout:
      return IsIdle(state) &&
             state.since_last_activity >= (state.has_served ? kIdleTimeout : kFirstRequestTimeout);
    case CloseReason::kSlotNeeded:
      return IsIdle(state) &&
             (state.has_served || state.since_last_activity >= kNewConnectionGrace);
    case CloseReason::kShutdown:
      return IsIdle(state);
    case CloseReason::kWriteStalled:
      return IsStalled(state) && state.since_last_activity >= kWriteTimeout;
    case CloseReason::kWriteStalledInShutdown:
    case CloseReason::kMemoryNeeded:
      return IsStalled(state) && state.overdue_for > kResponseTooLate;
    case CloseReason::kLingerTimeout:
      return state.half_closed && state.since_last_activity >= kLingerTime;
    case CloseReason::kLingerTimeoutInShutdown:
      return state.half_closed && state.since_last_activity >= kLingerTimeInShutdown;
    case CloseReason::kTooManyLingering:
      return state.half_closed;
  }
  return false;
}

bool MayRejectPartialRequest(SlotOrMemory needed, const ConnectionState& state) {
  const bool is_partial_request = state.has_unprocessed_input && !state.request_open &&
                                  !state.output_pending && !state.close_announced;
  return is_partial_request &&
         (needed == SlotOrMemory::kMemory || state.since_last_activity >= kPartialRequestGrace);
}

}  // namespace dunlinwick::clients
