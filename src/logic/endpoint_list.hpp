// The endpoint list, the slow start ramp of each endpoint, and the order in which endpoints are
// considered for an object.
#pragma once
#include "logic/traffic_statistics.hpp"

namespace dunlinwick::logic {

struct EndpointList : PolicyContext, EndpointTable {
  TrafficStatistics& statistics;
  // Live weights change from list to list. They are not used, since the endpoint that an object
  // hashes to must not change with them.
  const bool has_weights = settings.weight_source == WeightSource::kNominal ||
                           settings.weight_source == WeightSource::kRough;
  Endpoint* origin = nullptr;

  // Returns false for an update that failed: the old list stays in use, and is requested again
  // soon.
  bool Apply(const EndpointListUpdate& update) {
    if (update.kind == ListUpdateKind::kFailed) {
      Emit(SetTimer{now + kSecond, kListTimer << 56});
      return false;
    }
    if (settings.polls_endpoint_list && update.kind == ListUpdateKind::kLastKnown)
      Emit(WatchEndpointList{});
    if (update.kind != ListUpdateKind::kChanges)
      for (auto& [id, endpoint] : by_number)
        endpoint.state = EndpointState::kRemoved;  // unless the full list contains it
    for (const ListEntry& entry : update.entries)
      ApplyEntry(entry);
    std::erase_if(by_number, [&](auto& entry) { return CanErase(entry.second); });
    RebuildGroups();
    origin = nullptr;
    for (Endpoint* endpoint : origins)
      if (!origin || endpoint->state == EndpointState::kReady)
        origin = endpoint;
    return true;
  }

  // An endpoint is erased when it was removed from the list and has answered nothing that was sent
  // in the last minute, unless a request still refers to it. Cost: if it is listed again later, it
  // counts as new.
  bool CanErase(const Endpoint& endpoint) {
    if (endpoint.state != EndpointState::kRemoved ||
        now - endpoint.last_answered_sent_at < 60 * kSecond || requests.AnyRefersTo(&endpoint))
      return false;
    statistics.histories.Unlink(&endpoint);
    return true;
  }

  void ApplyEntry(const ListEntry& entry) {
    Endpoint& endpoint = by_number[entry.id];
    Ms previous_start = endpoint.slow_start_from;
    static_cast<ListEntry&>(endpoint) = entry;
    endpoint.slow_start_from = std::max(StartOf(entry), previous_start);
    if (!has_weights || entry.weight <= 0)
      endpoint.weight = 1;
    endpoint.role = RoleOf(entry, settings);
    // After a restart, what was learnt of the previous process no longer holds.
    if (endpoint.slow_start_from > previous_start) {
      if (endpoint.ejected)
        Emit(ReportEndpointHealth{endpoint.id, false});
      endpoint.consecutive_failures = 0;
      endpoint.ejected = endpoint.half_open_attempt_in_flight = false;
      endpoint.capacity = {};
    }
    // Without weights, a cache is assumed to carry four transfers, as a small server does, and a
    // source to have ample capacity; answers correct both. Until they demonstrate more, slow start
    // budgets are based on the four.
    constexpr double kSmallCapacity = 4, kAmpleCapacity = 200;
    endpoint.capacity.nominal = endpoint.IsCache() ? kSmallCapacity : kAmpleCapacity;
    if (has_weights && endpoint.role != Role::kOrigin)
      endpoint.capacity.nominal = endpoint.weight;
    endpoint.capacity.demonstrated = std::max(endpoint.capacity.demonstrated, kSmallCapacity);
    if (endpoint.capacity.present <= 0)
      endpoint.capacity.present = endpoint.capacity.nominal;
  }

  // When an endpoint started, on this front's clock; 0: long ago. The start must lie between the
  // last moment at which the front was up to date, less the time that the listing takes, and the
  // notification. If `started_at` does not, the clocks disagree, and the time of the notification
  // is used. Otherwise, after a step of either clock, a `started_at` that is too early would let a
  // slow start be missed, and one in the future would let it never end. Cost: an endpoint that took
  // longer to be listed, or that returns after the discovery service dropped it, ramps up again.
  static Ms StartOf(const ListEntry& entry) {
    constexpr Ms kListingDelay = 5 * kSecond;
    if (!entry.started_at.IsSet())
      return 0;
    if (!entry.notified)
      return entry.started_at.UnixMs();
    Ms earliest =
        entry.notified->up_to_date_at ? *entry.notified->up_to_date_at - kListingDelay : 0;
    return ToLocalClock(entry.started_at, earliest, entry.notified->at);
  }

  // The settings of the endpoint's slow start; nullptr when it is not in slow start.
  const SlowStartSettings* ActiveSlowStart(const Endpoint& endpoint) const {
    if (endpoint.role == Role::kOrigin || endpoint.slow_start_from <= 0)
      return nullptr;
    const SlowStartSettings& slow_start =
        endpoint.role == Role::kParent ? settings.parent_slow_start : settings.cache_slow_start;
    return now - endpoint.slow_start_from < slow_start.duration ? &slow_start : nullptr;
  }

  // The share of its full capacity that an endpoint has at present: it grows linearly during slow
  // start, and is 1 afterwards.
  double RampWeight(const Endpoint& endpoint) const {
    const SlowStartSettings* slow_start = ActiveSlowStart(endpoint);
    return slow_start ? slow_start->initial_weight +
                            (1 - slow_start->initial_weight) *
                                std::max(0.0, now - endpoint.slow_start_from) / slow_start->duration
                      : 1;
  }

  // Weighted rendezvous hashing: every front computes the same order. The weight of an endpoint in
  // slow start is scaled by its ramp weight, so that objects return to it as its capacity grows.
  std::vector<Endpoint*> InRendezvousOrder(const std::vector<Endpoint*>& endpoints,
                                           std::uint64_t object) const {
    std::vector<std::pair<double, Endpoint*>> scored;
    for (Endpoint* endpoint : endpoints) {
      double u = OpenUnitFraction(MixHash(MixHash(object) ^ MixHash(endpoint->id)));
      scored.emplace_back(-std::log(u) / (endpoint->weight * RampWeight(*endpoint)), endpoint);
    }
    return SortedByScore(std::move(scored));
  }
};

}  // namespace dunlinwick::logic
