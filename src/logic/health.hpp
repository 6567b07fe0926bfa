// Outlier ejection: which endpoints may get attempts, which are ejected for their failures, and how
// they return to service.
#pragma once
#include "logic/load.hpp"

namespace dunlinwick::logic {

struct Health : PolicyContext {
  const Load& load;
  int log_lines_left = 150;  // over the life of the process; none are written afterwards

  void Log(const char* change, const Endpoint& endpoint) {
    log_lines_left-- > 0 ? Emit(WriteLogLine{LogLineOf(change, endpoint)}) : void();
  }

  bool IsUsable(const Endpoint& endpoint) const {
    if (endpoint.state != EndpointState::kReady)
      return false;
    if (!endpoint.ejected)
      return now >= endpoint.overloaded_until;
    // Half open. With probes, two successful ones return a cache to service, and admit one attempt
    // at a time to a parent or the origin. Without probes, any ejected endpoint gets one attempt at
    // a time after its backoff.
    return (settings.permissions.probe ? endpoint.consecutive_probe_successes >= 2
                                       : now >= endpoint.ejected_until) &&
           !endpoint.half_open_attempt_in_flight;
  }

  // At least three attempts are overdue, all sent after the latest one that was answered. Guards
  // against endpoints that accept attempts and never end them, which would occupy fill slots and
  // clients. Cost: when all endpoints are slow, the first one in the order may be ejected.
  bool IsUnresponsive(const Endpoint& endpoint) const {
    constexpr int kOverdueLimit = 3;  // more than chance, few enough to be detected within a second
    constexpr Ms kGrace = kSecond / 3;  // longer than the pauses of a busy endpoint
    if (now - endpoint.last_answered_sent_at <= kGrace)
      return false;  // no attempt sent later can be overdue
    double link_stretch = std::max(1.0, load.LinkUtilisation());
    auto is_overdue = [&](const Request& request, const Attempt& attempt) {
      return attempt.sent_at > endpoint.last_answered_sent_at &&
             now - attempt.sent_at > 3 * request.transfer_time * link_stretch + kGrace;
    };
    return requests.CountInFlight(&endpoint, is_overdue) >= kOverdueLimit;
  }
  // Ejects an endpoint that is unresponsive. Returns whether it may get an attempt.
  bool CheckUsable(Endpoint& endpoint) {
    return !endpoint.ejected && IsUnresponsive(endpoint)
           ? RecordFailure(endpoint, kFailuresToEject),
           false : IsUsable(endpoint);
  }

  // Guards against anything that makes an endpoint fail consecutively: a crash that the list does
  // not show yet, a refused port, a network failure. All attempts that end with one connection
  // count as one failure. Cost: an endpoint that only ran out of connections is ejected for a
  // moment.
  static constexpr int kFailuresToEject = 2;  // one may be chance, two consecutive ones are not
  void RecordFailure(Endpoint& endpoint, int count = 1) {
    constexpr Ms kInitialBackoff = kSecond / 4, kMaxBackoff = 4 * kSecond;
    endpoint.consecutive_failures += count;
    endpoint.consecutive_probe_successes = 0;
    endpoint.half_open_attempt_in_flight = false;
    if (endpoint.ejected ? now < endpoint.ejected_until
                         : endpoint.consecutive_failures < kFailuresToEject)
      return;
    endpoint.backoff =
        endpoint.ejected ? std::min(2 * endpoint.backoff, kMaxBackoff) : kInitialBackoff;
    if (!endpoint.ejected) {
      Log("ejected", endpoint);
      Emit(ReportEndpointHealth{endpoint.id, true});
    }
    endpoint.ejected = true;
    endpoint.ejected_until = now + endpoint.backoff;
    if (settings.permissions.probe)
      Emit(SetTimer{endpoint.ejected_until, kEndpointTimer << 56 | endpoint.id});
  }

  void RecordSuccess(Endpoint& endpoint) {
    endpoint.consecutive_failures = 0;
    endpoint.may_have_restarted &= endpoint.ejected;
    // Where probes are permitted, an endpoint returns only after two successful ones.
    if (!endpoint.ejected ||
        (settings.permissions.probe && endpoint.consecutive_probe_successes < 2))
      return;
    endpoint.consecutive_probe_successes = 0;
    // An endpoint that could not be reached may be a new process that the list does not show yet:
    // it goes through slow start.
    if (endpoint.may_have_restarted)
      endpoint.slow_start_from = now;
    endpoint.ejected = endpoint.half_open_attempt_in_flight = endpoint.may_have_restarted = false;
    Log("returned to service", endpoint);
    Emit(ReportEndpointHealth{endpoint.id, false});
  }

  void RecordFill(Endpoint& source, Ms sent_at) {
    source.last_answered_sent_at = std::max(source.last_answered_sent_at, sent_at);
    RecordSuccess(source);
  }

  void HandleProbe(const ProbeEnded& probe) {
    Endpoint* endpoint = load.endpoints.Find(probe.endpoint);
    if (!endpoint || !endpoint->ejected)
      return;
    if (!probe.succeeded) {
      endpoint->may_have_restarted = true;
      return RecordFailure(*endpoint);
    }
    if (++endpoint->consecutive_probe_successes < 2)
      return Emit(SetTimer{now + kSecond / 10, kEndpointTimer << 56 | probe.endpoint});
    if (endpoint->IsCache())
      RecordSuccess(*endpoint);
  }
  void HandleTimer(const TimerFired& timer) {
    Endpoint* endpoint = load.endpoints.Find(static_cast<std::uint32_t>(timer.handle));
    if (!endpoint || !endpoint->ejected)
      return;
    endpoint->state == EndpointState::kReady ? Emit(ProbeEndpoint{endpoint->id})
                                             : Emit(SetTimer{now + kSecond, timer.handle});
  }
};

}  // namespace dunlinwick::logic
