#include "clients/close_policy.hpp"

namespace dunlinwick::clients {
namespace {

// Clients close connections idle for 4 s; later than that, so that no request crosses a close of
// ours.
constexpr Ms kIdleTimeout = 10000;
// For the first request of a connection: a client is owed an end within 3 s, looked at four times a
// second.
constexpr Ms kFirstRequestTimeout = 2500;
// For an answer to be taken: no request lasts as long, and a dead peer must go.
constexpr Ms kAnswerTimeout = 15000;
// After its deadline an answer counts as lost.
constexpr Ms kAnswerTooLate = 500;
// Harm without reading on: a close over unread bytes resets the connection, and takes with it the
// answer that still lies in the system's buffers. In a stop shorter, since the exit has a bound; a
// request that crosses a close of ours does so within 50 ms.
constexpr Ms kDrainTime = 1000;
constexpr Ms kDrainTimeInStop = 200;
// For the rest of a request while others wait for a place.
constexpr Ms kHalfRequestGrace = 100;

bool IsIdle(const ConnectionState& state) {
  return !state.request_open && !state.bytes_unanswered && !state.output_pending &&
         !state.last_answer_said;
}

bool IsStalled(const ConnectionState& state) {
  return !state.request_open && state.output_pending;
}

}  // namespace

bool MayClose(CloseReason reason, const ConnectionState& state) {
  switch (reason) {
    case CloseReason::kClientLeft:
      return true;
    case CloseReason::kLastAnswerSent:
      return state.last_answer_said && !state.request_open && !state.output_pending;
    case CloseReason::kIdleTimeout:
      return IsIdle(state) &&
             state.quiet_for >= (state.served ? kIdleTimeout : kFirstRequestTimeout);
    case CloseReason::kMakeRoom:
      return IsIdle(state) && (state.served || state.quiet_for >= kNewcomerGrace);
    case CloseReason::kServerStops:
      return IsIdle(state);
    case CloseReason::kAnswerNotTaken:
      return IsStalled(state) && state.quiet_for >= kAnswerTimeout;
    case CloseReason::kAnswerNotTakenInStop:
      return IsStalled(state) && state.overdue_for > kAnswerTooLate;
    case CloseReason::kDrainOver:
      return state.half_closed && state.quiet_for >= kDrainTime;
    case CloseReason::kDrainOverInStop:
      return state.half_closed && state.quiet_for >= kDrainTimeInStop;
    case CloseReason::kTooManyDraining:
      return state.half_closed;
  }
  return false;
}

bool MayRefuseForRoom(const ConnectionState& state) {
  const bool is_half_request = state.bytes_unanswered && !state.request_open &&
                               !state.output_pending && !state.last_answer_said;
  return is_half_request && state.quiet_for >= kHalfRequestGrace;
}

}  // namespace dunlinwick::clients
