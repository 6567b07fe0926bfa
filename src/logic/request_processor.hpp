// The life of a request from its arrival to its answer: its attempts, what their results show, and
// which endpoint a failure is attributed to.
#pragma once
#include "logic/size_fairness.hpp"
#include "logic/source_selector.hpp"

namespace dunlinwick::logic {

struct RequestProcessor : PolicyContext {
  static constexpr Ms kNetworkDelay = 5;   // connection and network within a zone, on the long side
  static constexpr Ms kResponseDelay = 4;  // of the answer's way to the client
  TrafficStatistics& statistics;
  Load& load;
  EndpointSelector& selector;
  SourceSelector& sources;
  SizeFairness fairness;

  void HandleArrival(const RequestArrived& arrival) {
    if (arrival.request_class >= static_cast<int>(statistics.class_states.size()) ||
        requests.count(arrival.request))
      return;
    Request& request = requests[arrival.request];
    static_cast<RequestArrived&>(request) = arrival;
    ClassState& class_state =
        *(request.class_state =
              &statistics.class_states[static_cast<std::size_t>(arrival.request_class)]);
    statistics.RecordArrival(request);
    request.objective_at =
        now + std::min(class_state.latency_objective +
                           class_state.latency_objective_per_transfer_time * request.transfer_time,
                       class_state.max_deadline);
    SetDeadline(request, arrival.time_left);
    fairness.RecordArrival(request);
    if (!selector.IsAdmitted(request))
      Reject(request, std::max(class_state.mean_transfer_time, selector.admission_ramp.retry_after),
             RejectionReason::kAdmission);
    else if (selector.RejectsByOpenRequestPrice(request))
      Reject(request, class_state.mean_transfer_time, RejectionReason::kOpenRequests);
    else
      Advance(request);
    requests.EraseIfDone(request);
  }

  void SetDeadline(Request& request, Ms time_left) {
    request.deadline = now + time_left;
    Emit(SetTimer{std::max(now, request.deadline - kResponseDelay),
                  kRequestTimer << 56 | request.request});
  }

  void Send(Request& request, Endpoint& endpoint, Endpoint* source) {
    Attempt attempt{&endpoint, source == &endpoint ? nullptr : source, now};
    // A fill that waits for a busy link or source puts little load on the cache.
    if (request.known_miss && attempt.source)
      attempt.load = 1 / std::max({1.0, load.LinkUtilisation(), attempt.source->fill_stretch});
    bool uses_link =
        endpoint.role != Role::kLocalCache || (attempt.source && !attempt.source->IsCache());
    // An attempt that may still be a hit counts for three tenths, a usual share of misses.
    attempt.fill_load = !uses_link                                                 ? 0
                        : request.known_miss || endpoint.role != Role::kLocalCache ? 1
                                                                                   : 0.3;
    load.AddFillsInFlight(attempt.fill_load);
    auto record_sent = [&](Endpoint& target, double change) {
      load.AddInFlight(target, change);
      selector.slow_start.Charge(target, selector.slow_start.WorkOf(request));
      target.half_open_attempt_in_flight |= target.ejected;
    };
    record_sent(endpoint, attempt.load);
    if (attempt.source)
      record_sent(*attempt.source, 1);
    SendAttempt action{request.request, endpoint.id, source ? source->id : endpoint.id,
                       settings.permissions.coalesce, request.class_state->freshness_lifetime > 0};
    attempt.only_if_cached = attempt.source && attempt.source->role == Role::kParent &&
                             (request.only_if_cached || sources.SparesOrigin(request));
    action.only_if_cached = request.missed_only_if_cached = attempt.only_if_cached;
    // An exclusive request would be lost on a connection that broke unnoticed while idle. Cost: one
    // more round trip.
    action.requires_live_connection =
        request.class_state->effect == Effect::kExclusive && settings.permissions.probe;
    action.start_deadline = selector.StartDeadline(request);
    action.retention_rank = request.retention_rank;
    action.max_age = statistics.purges.MaxAge(request);
    action.timeout = std::max(1.0, request.deadline - now);
    Emit(action);
    request.attempts.push_back(attempt);
  }

  // Sends the next attempt of a request. Returns false where none may be sent; the selector's
  // `rejection_reason` then holds the reason.
  bool SendNext(Request& request) {
    // After errors from two endpoints the request itself is taken for the cause: a third would
    // return the same.
    auto errors = std::count_if(request.attempts.begin(), request.attempts.end(),
                                [](const Attempt& attempt) { return attempt.returned_error; });
    selector.rejection_reason = RejectionReason::kAttempts;
    if (static_cast<int>(request.attempts.size()) >= settings.max_attempts ||
        request.missed_only_if_cached || errors >= 2)
      return false;
    Endpoint* origin = load.endpoints.origin;
    if (request.class_state->uncacheable && settings.permissions.direct_to_origin && origin &&
        selector.health.IsUsable(*origin) && !request.IsExcluded(origin) &&
        selector.MayAttempt(request, *origin)) {
      Send(request, *origin, origin);
      return true;
    }
    load.SampleLink();
    Endpoint* cache = selector.SelectCache(request);
    if (!cache)
      return false;
    Endpoint* source = sources.SelectSource(request, *cache);
    selector.rejection_reason = source ? RejectionReason::kLink : RejectionReason::kNoSource;
    if (!source && request.known_miss)
      return false;  // nothing can fill it, and a further attempt without a fill would only add
                     // load
    // When the link's utilisation is high, the first attempt goes without a source; a known miss is
    // filled while it can still be in time. Guards against any surge of misses (caches in slow
    // start, purges, scans, large objects). Cost: one round trip.
    if (source && !source->IsCache() && !request.class_state->uncacheable &&
        cache->role == Role::kLocalCache) {
      // A short burst is tolerated in full. If the link stays busy, up to half of the tolerance is
      // withdrawn, since the sources behind it are then busy too, and fronts cannot see that.
      // Always half where the capacity is unknown, since its estimate comes from fills that busy
      // sources may have slowed down.
      constexpr double kHighUtilisation = 0.8, kMinTolerance = 0.5;
      double tolerance = load.IsLinkKnown() ? std::clamp(1.8 - 0.6 * load.MeanLinkUtilisation(),
                                                         kMinTolerance, 1.0)
                                            : kMinTolerance;
      if (request.known_miss &&
          load.LinkUtilisation() > tolerance * selector.MaxUtilisation(request))
        return false;
      bool can_try_without_fill =
          !request.known_miss &&
          static_cast<int>(request.attempts.size()) + 1 < settings.max_attempts;
      if (can_try_without_fill && load.LinkUtilisation() > kHighUtilisation)
        source = nullptr;
    }
    Send(request, *cache, source);
    return true;
  }

  // Rejects a request at its deadline. Otherwise, if no attempt is in flight, sends the next one,
  // or rejects the request if none may be sent.
  void Advance(Request& request) {
    if (request.ended || request.streaming)
      return;
    if (now >= request.deadline - kResponseDelay)
      return Reject(request, 0, RejectionReason::kDeadline);
    if (!request.HasAttemptInFlight() && !SendNext(request))
      Reject(request, request.class_state->mean_transfer_time, selector.rejection_reason);
  }

  void HandleTimer(std::uint32_t number) {
    if (Request* request = requests.Find(number)) {
      Advance(*request);
      requests.EraseIfDone(*request);
    }
  }

  // Ends a request without an answer. It is rejected where a repeat by the client is safe, and
  // fails otherwise, since it may have been executed.
  void Reject(Request& request, Ms retry_after, RejectionReason reason) {
    bool never_ran = std::all_of(request.attempts.begin(), request.attempts.end(),
                                 [](const Attempt& attempt) { return attempt.never_ran; });
    bool is_recognised =
        request.class_state->effect == Effect::kIdempotentWithKey &&
        request.class_state->deduplication_scope == DeduplicationScope::kEverywhere;
    retry_after *= Uniform(0.75, 1.25);  // so that clients don't return at the same time
    if (never_ran || is_recognised || request.class_state->effect == Effect::kIdempotent)
      Emit(RejectRequest{request.request, std::min(retry_after, settings.max_retry_after), reason,
                         request.Band()});
    else
      Emit(FailRequest{request.request});
    fairness.RecordRejection(request);
    Finish(request);
  }

  // The request has its final answer. It is erased when its last attempt has ended.
  void Finish(Request& request) {
    request.ended = true;
    CancelAttempts(request, -1);
  }
  // Cancels all attempts in flight but the one at index `except`.
  void CancelAttempts(const Request& request, int except) const {
    for (int i = 0; i < static_cast<int>(request.attempts.size()); ++i)
      if (settings.permissions.cancel && i != except &&
          request.attempts[static_cast<std::size_t>(i)].in_flight)
        Emit(CancelAttempt{request.request, i});
  }

  void HandleAttemptEnded(AttemptEnded ended) {
    Request* found = requests.Find(ended.request);
    if (!found || ended.attempt < 0 || ended.attempt >= static_cast<int>(found->attempts.size()))
      return;
    Request& request = *found;
    Attempt& attempt = request.attempts[static_cast<std::size_t>(ended.attempt)];
    if (!std::exchange(attempt.in_flight, false))
      return;
    if (attempt.endpoint->role == Role::kLocalCache)
      load.LearnLinkReport(ended.load_report);
    load.AddInFlight(*attempt.endpoint, -attempt.load);
    load.AddFillsInFlight(-attempt.fill_load);
    if (attempt.source)
      load.AddInFlight(*attempt.source, -1);
    // Where answers distinguish hits from misses at most, a failure that took longer than the way
    // to the cache happened behind it, and a quick rejection was due to a lack of fill slots.
    // Guards against attributing a source's rejections and silence to the caches. Cost: a slow
    // rejection by a cache is attributed to the source.
    if (!settings.reports_cache_status && attempt.source &&
        ended.cache_status == CacheStatus::kNone) {
      if (ended.result == AttemptResult::kMiss && attempt.only_if_cached)
        ended.cache_status = CacheStatus::kSourceMiss;
      if (ended.result == AttemptResult::kOverloaded)
        ended.cache_status =
            ended.duration > kNetworkDelay ? CacheStatus::kSourceRefused : CacheStatus::kNoFillSlot;
      if (ended.result == AttemptResult::kError && ended.duration > kNetworkDelay)
        ended.cache_status = CacheStatus::kSourceFailed;
    }
    attempt.never_ran =
        ended.result == AttemptResult::kOverloaded || ended.result == AttemptResult::kNotSent ||
        ended.result == AttemptResult::kStartDeadlinePassed || ended.result == AttemptResult::kMiss;
    attempt.endpoint->half_open_attempt_in_flight = false;
    if (attempt.source)
      attempt.source->half_open_attempt_in_flight = false;
    if (ended.result == AttemptResult::kFinished || ended.result == AttemptResult::kMiss ||
        ended.result == AttemptResult::kOverloaded)
      attempt.endpoint->last_answered_sent_at =
          std::max(attempt.endpoint->last_answered_sent_at, attempt.sent_at);
    ended.result == AttemptResult::kFinished ? HandleSuccess(request, attempt, ended)
                                             : HandleFailure(request, attempt, ended);
    if (ended.final && !request.ended) {
      fairness.RecordAnswer(request);
      Finish(request);
    }
    Advance(request);
    requests.EraseIfDone(request);
  }

  // A good answer: what it shows about the cache, the source and the link.
  void HandleSuccess(Request& request, Attempt& attempt, const AttemptEnded& ended) {
    selector.health.RecordSuccess(*attempt.endpoint);
    // An error may be caused by the request itself: it counts as a failure of an endpoint once
    // another one has answered the same request. Guards against clients whose malformed requests
    // would eject healthy caches. Cost: a faulty endpoint is detected one attempt later.
    for (const Attempt& other : request.attempts)
      if (other.returned_error)
        selector.health.RecordFailure(*other.endpoint);
    bool filled = ended.cache_status == CacheStatus::kFilled ||
                  ended.cache_status == CacheStatus::kFilledByOrigin;
    // For the idle window, a coalesced or expired answer counts as a hit: a copy was being filled,
    // or was there.
    bool hit = ended.cache_status == CacheStatus::kHit ||
               ended.cache_status == CacheStatus::kCoalesced ||
               ended.cache_status == CacheStatus::kExpired;
    if (ended.cache_status == CacheStatus::kFilledByOrigin)
      sources.LearnOriginWait(ended.fill_wait);
    if (filled && attempt.source)
      selector.health.RecordFill(*attempt.source, attempt.sent_at);
    if (!attempt.endpoint->IsCache() || request.class_state->uncacheable)
      return;
    if (hit || filled)
      statistics.LearnIdleWindow(request, attempt, hit);
    Ms uncontended = request.KnownTransferTime(), duration = ended.duration - kNetworkDelay;
    if (filled && attempt.source && !attempt.source->IsCache() &&
        attempt.endpoint->role == Role::kLocalCache)
      sources.LearnFinishedFill(attempt, uncontended, duration, ended.fill_wait);
    if (ended.cache_status == CacheStatus::kHit) {
      load.LearnCapacity(
          attempt.endpoint->capacity,
          load.InFlightOfAllFronts(attempt.endpoint->in_flight, settings.fronts_in_zone) + 1,
          uncontended, duration);
      if (!request.class_state->transfers_seen)
        request.class_state->mean_transfer_time +=
            0.02 * (std::min(ended.duration, 4 * request.class_state->mean_transfer_time) -
                    request.class_state->mean_transfer_time);
    }
    request.history->last_cache = attempt.endpoint;
  }

  // Attributes a failure to the cache, its source or neither; the one it is attributed to gets no
  // further attempt of this request. Neither is blamed for a miss, a cancellation, a start deadline
  // that passed, or a broken connection that was already counted.
  void HandleFailure(Request& request, Attempt& attempt, const AttemptEnded& ended) {
    Endpoint* source = attempt.source;
    bool is_sibling = source && source->IsCache();
    Ms uncontended = request.KnownTransferTime();
    if (ended.cache_status != CacheStatus::kSourceMiss)
      request.missed_only_if_cached = false;
    // Counts as at least ten times the usual wait, so that the origin is spared.
    if (ended.cache_status == CacheStatus::kOriginFailed)
      sources.LearnOriginWait(std::max(ended.fill_wait, 10 * sources.origin_baseline_wait));
    // A fill that was refused, or that ended without success after over three times its uncontended
    // time, counts as a slow fill. Where answers carry no cache status, an attempt that is not a
    // known miss is taken for a fill if the cache has answered another one that was sent later.
    bool is_fill =
        request.known_miss || (!settings.reports_cache_status &&
                               attempt.endpoint->last_answered_sent_at > attempt.sent_at);
    if (!settings.reports_cache_status)
      uncontended += sources.typical_fill_wait;
    if (source && !is_sibling &&
        (ended.cache_status == CacheStatus::kSourceRefused ||
         (is_fill && ended.duration > 3 * uncontended)))
      sources.LearnFill(attempt, uncontended, std::max(ended.duration, 3 * uncontended));
    if (ended.result == AttemptResult::kMiss || ended.cache_status == CacheStatus::kNoFillSlot) {
      // Not a failure: the cache lacks the object, or has no fill slot free but still serves hits.
      if (ended.cache_status == CacheStatus::kNoFillSlot || (!is_sibling && request.known_miss))
        request.excluded.push_back(attempt.endpoint);
      request.sibling_missed |= is_sibling;
      request.known_miss = true;
    } else if (source && ended.cache_status >= CacheStatus::kSourceRefused &&
               ended.cache_status <= CacheStatus::kOriginFailed) {
      request.sibling_missed |= is_sibling;
      request.known_miss = true;
      request.excluded.push_back(source);
      if (ended.cache_status == CacheStatus::kSourceRefused)
        source->overloaded_until = now + kSecond / 10;
      if (ended.cache_status == CacheStatus::kSourceFailed)
        selector.health.RecordFailure(*source);
    } else if (ended.result == AttemptResult::kOverloaded) {
      attempt.endpoint->overloaded_until = now + kSecond / 20;  // so that its queue can drain
      request.excluded.push_back(attempt.endpoint);
    } else if (ended.result != AttemptResult::kCancelled &&
               ended.result != AttemptResult::kStartDeadlinePassed &&
               ended.earlier_on_connection == 0) {
      request.excluded.push_back(attempt.endpoint);
      if (ended.is_local_fault)
        return;  // this front lacked a descriptor, which is no failure of the endpoint
      attempt.endpoint->may_have_restarted |=
          ended.result == AttemptResult::kNotSent ||
          (attempt.endpoint->ejected && ended.result == AttemptResult::kDisconnected);
      if (!(attempt.returned_error = ended.result == AttemptResult::kError))
        selector.health.RecordFailure(*attempt.endpoint);
    }
  }
};

}  // namespace dunlinwick::logic
