// Endpoint selection: which cache a request's next attempt goes to, what utilisation the request
// tolerates there, and whether the request is admitted at all.
#pragma once
#include "logic/health.hpp"
#include "logic/slow_start.hpp"

namespace dunlinwick::logic {

struct EndpointSelector : PolicyContext {
  const Load& load;
  SlowStart& slow_start;
  Health& health;
  double mean_priority_weight = 1;
  double mean_work = 100;
  double open_request_price = 0;
  RejectionReason rejection_reason =
      RejectionReason::kNoEndpoint;    // why the last request got no attempt
  std::vector<double> zone_weights{};  // of requests, by zone; empty: all stay in the own zone

  // The cache for the next attempt; nullptr where none may get it, for `rejection_reason`.
  Endpoint* SelectCache(const Request& request) {
    auto remote = load.endpoints.remote_caches.find(ZoneOf(request));  // lacks the own zone
    Endpoint* cache = remote == load.endpoints.remote_caches.end()
                          ? nullptr
                          : SelectAmong(request, remote->second);
    return cache ? cache : SelectAmong(request, load.endpoints.caches);
  }
  Endpoint* SelectAmong(const Request& request, const std::vector<Endpoint*>& caches) {
    std::vector<Endpoint*> candidates;
    rejection_reason = RejectionReason::kNoEndpoint;
    for (Endpoint* cache : load.endpoints.InRendezvousOrder(caches, request.object)) {
      if (!health.CheckUsable(*cache) || request.IsExcluded(cache) || !MayAttempt(request, *cache))
        continue;
      if (slow_start.CanAfford(*cache, slow_start.WorkOf(request)))
        candidates.push_back(cache);
      else
        rejection_reason = RejectionReason::kSlowStart;
    }
    Endpoint* cache = SelectByBoundedLoad(candidates, request);
    if (cache && load.Utilisation(*cache) <= MaxUtilisation(request))
      return cache;
    rejection_reason = cache ? RejectionReason::kUtilisation : rejection_reason;
    return nullptr;
  }

  // Consistent hashing with bounded loads: the first endpoint in hash order whose utilisation is at
  // most a quarter over the mean, or at a level where most requests meet their objective, since a
  // move costs a fill; and that this request tolerates. Otherwise the least utilised one.
  Endpoint* SelectByBoundedLoad(const std::vector<Endpoint*>& candidates,
                                const Request& request) const {
    double in_flight = 0, capacity = 0;
    Endpoint* least_utilised = nullptr;
    for (Endpoint* endpoint : candidates) {
      in_flight += load.InFlightOfAllFronts(endpoint->in_flight, load.SharersOf(*endpoint));
      capacity += load.EffectiveCapacity(endpoint->capacity) * load.endpoints.RampWeight(*endpoint);
      if (!least_utilised || load.Utilisation(*endpoint) < load.Utilisation(*least_utilised))
        least_utilised = endpoint;
    }
    double bound =
        std::min(std::max(1.75, 1.25 * (in_flight + 1) / capacity), MaxUtilisation(request));
    auto first = std::find_if(candidates.begin(), candidates.end(), [&](Endpoint* endpoint) {
      return load.Utilisation(*endpoint) <= bound;
    });
    return first == candidates.end() ? least_utilised : *first;
  }

  // The highest utilisation of an endpoint or link at which this request may still meet its
  // objective, given that its transfer is slowed down by about the utilisation. It is lower for a
  // request with little priority weight for its work: in overload, those that are worth least for
  // their work are rejected first.
  double MaxUtilisation(const Request& request) const {
    constexpr double kMin = 1.2, kWithCredit = 3.0, kMax = 5.0;
    constexpr double kMargin = 0.8;  // utilisation rises while the request is under way
    if (request.has_credit)
      return kWithCredit;
    double tolerable_slowdown =
        kMargin * (request.objective_at - now) / std::max(request.transfer_time, 1.0);
    double tolerable =
        tolerable_slowdown * std::clamp(std::pow(ValueDensity(request), 0.2), 0.7, 1.3);
    return std::clamp(tolerable, kMin, kMax);
  }
  // The priority weight per work, relative to that of the mean request.
  double ValueDensity(const Request& request) const {
    return (request.class_state->priority_weight / std::max(request.transfer_time, 1.0)) /
           (mean_priority_weight / std::max(mean_work, 1.0));
  }

  // A fleet that recovers from a loss admits what endpoints in slow start can take from all fronts
  // together (src/recovery/); the rest is rejected at once. Cost: a front that is notified late
  // rejects what could be served.
  AdmissionRamp admission_ramp{};
  bool IsAdmitted(const Request& request) const {
    auto index = static_cast<std::size_t>(request.request_class);
    return index >= admission_ramp.share_by_class.size() ||
           Uniform() < admission_ramp.share_by_class[index];
  }

  // Clients may have a limited number of requests open here, each until its answer; at the limit,
  // the next request is rejected whatever its priority. A proportional-integral controller sets the
  // least value density that is admitted, to keep a tenth of the limit free; `open_request_price`
  // is its integral part. Without a known limit none is rejected. Guards against surges or slowness
  // that exhaust the limit. Cost: rejects some large objects. Called once per request: updates the
  // means and the price, and returns whether the request is to be rejected.
  bool RejectsByOpenRequestPrice(const Request& request) {
    // Averages over about the last hundred requests.
    mean_priority_weight += 0.01 * (request.class_state->priority_weight - mean_priority_weight);
    mean_work += 0.01 * (request.transfer_time - mean_work);
    slow_start.RecordArrival(request.transfer_time);
    constexpr double kTarget = 0.9, kIntegralGain = 0.002, kProportionalGain = 4;
    double excess =
        settings.max_open_requests > 0
            ? static_cast<double>(requests.size()) / settings.max_open_requests - kTarget
            : -1;
    open_request_price = std::clamp(open_request_price + kIntegralGain * excess, 0.0, 2.0);
    return !request.has_credit &&
           ValueDensity(request) < open_request_price + kProportionalGain * excess;
  }

  // Whether a further attempt of this request may go to `endpoint`. An exclusive request that may
  // have been executed is not sent again, and one with an idempotency key only where the repeat is
  // recognised.
  bool MayAttempt(const Request& request, const Endpoint& endpoint) const {
    const RequestClass& request_class = *request.class_state;
    for (const Attempt& attempt : request.attempts) {
      if (attempt.never_ran)
        continue;
      if (request_class.effect == Effect::kExclusive ||
          (attempt.in_flight && !settings.permissions.concurrent_attempts))
        return false;
      if (request_class.effect == Effect::kIdempotent)
        continue;
      if (now - attempt.sent_at >= request_class.deduplication_window)
        return false;
      if (request_class.deduplication_scope == DeduplicationScope::kZone &&
          endpoint.zone != attempt.endpoint->zone)
        return false;
      if (request_class.deduplication_scope == DeduplicationScope::kCell &&
          endpoint.cell != attempt.endpoint->cell)
        return false;
    }
    return true;
  }

  // When the deduplication window of the first attempt that may have been executed ends; 0: there
  // is no such attempt, or no idempotency key.
  Ms StartDeadline(const Request& request) const {
    if (request.class_state->effect != Effect::kIdempotentWithKey)
      return 0;
    // The attempts are in the order in which they were sent.
    auto first = std::find_if(request.attempts.begin(), request.attempts.end(),
                              [](const Attempt& attempt) { return !attempt.never_ran; });
    return first == request.attempts.end()
               ? 0
               : first->sent_at + request.class_state->deduplication_window;
  }

  // The failover decision sets the share of requests that goes to each zone. Objects are assigned
  // by hash, alike at all fronts of a zone. Guards against a zone whose caches are lost to all its
  // fronts. Cost: misses in the other zones until they have cached the objects. A request whose
  // idempotency key only its zone recognises stays: a client's repeat after a change of the shares
  // would be executed twice. Where the platform permits no probes, first attempts of idempotent
  // requests stay in the own zone while an ejected cache there is due for its half-open attempt,
  // since it could never return to service otherwise.
  int ZoneOf(const Request& request) const {
    const RequestClass& request_class = *request.class_state;
    if (zone_weights.empty() ||
        (request_class.effect == Effect::kIdempotentWithKey &&
         request_class.deduplication_scope != DeduplicationScope::kEverywhere))
      return settings.zone;
    if (!settings.permissions.probe && request_class.effect == Effect::kIdempotent &&
        request.attempts.empty())
      for (const Endpoint* cache : load.endpoints.caches)
        if (cache->ejected && health.IsUsable(*cache))
          return settings.zone;
    // Not the hash of the rendezvous order, so that the two are independent.
    double remainder = UnitFraction(MixHash(request.object ^ 0x5eedull));
    if ((remainder -= zone_weights[static_cast<std::size_t>(settings.zone)]) < 0)
      return settings.zone;
    for (auto& [zone, caches] : load.endpoints.remote_caches)
      if (zone < static_cast<int>(zone_weights.size()) &&
          (remainder -= zone_weights[static_cast<std::size_t>(zone)]) < 0)
        return zone;
    return settings.zone;
  }
  void SetZoneWeights(const ZoneTrafficWeights& traffic) {
    zone_weights =
        settings.zone < std::ssize(traffic.weights) ? traffic.weights : decltype(zone_weights){};
  }
};

}  // namespace dunlinwick::logic
