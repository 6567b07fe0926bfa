// Load: how many transfers an endpoint or the link carries, how many are in flight there, and its
// utilisation.
#pragma once
#include "logic/endpoint_list.hpp"

namespace dunlinwick::logic {

struct Load : PolicyContext {
  EndpointList& endpoints;
  const bool has_configured_link = settings.link_capacity > 0;
  CapacityEstimate link{0, settings.link_capacity};
  InFlightCounter fills_in_flight{};     // through the link
  InFlightCounter link_utilisation{};    // samples of LinkUtilisation(), for its moving average
  double reported_link_utilisation = 0;  // by caches
  Ms link_reported_at = kLongAgo;

  // How many transfers an endpoint or link carries at full speed. An answer that was slowed down
  // shows it (the transfers in flight over the slowdown), one that was not shows that it is at
  // least the transfers in flight; without answers it returns to the nominal value. Guards against
  // slow, pausing and overrated endpoints. Cost: a slow path to the clients looks like a slow
  // endpoint.
  double EffectiveCapacity(const CapacityEstimate& capacity) const {
    constexpr Ms kFade = 5 * kSecond;  // a slow endpoint gets attempts again within seconds
    double recovery = std::pow(std::max(1.0, capacity.nominal / capacity.present),
                               1 - std::exp((capacity.updated_at - now) / kFade));
    return std::max(0.25, capacity.present * recovery);
  }
  // Learns from a transfer that took `duration` instead of `uncontended`, while `in_flight`
  // transfers were in progress, itself included. `common_stretch`: how much all transfers are
  // slowed down at present, for reasons other than this endpoint.
  void LearnCapacity(CapacityEstimate& capacity, double in_flight, Ms uncontended, Ms duration,
                     double common_stretch = 1, double growth = 1.05) const {
    constexpr Ms kTooShort = 10;  // below it, the network's delay outweighs the transfer time
    if (uncontended < kTooShort)
      return;
    double stretch = std::max(1.0, duration / (uncontended * common_stretch));
    capacity.present = EffectiveCapacity(capacity);
    capacity.updated_at = now;
    double step = std::clamp(0.05 * stretch, 0.1, 0.3);  // larger for a clearer sign
    if (stretch > 1.5)
      capacity.present +=
          step * (std::min(in_flight / stretch, capacity.present) - capacity.present);
    if (stretch < 1.25)
      capacity.present = std::max(capacity.present, std::min(in_flight, growth * capacity.present));
    capacity.nominal = std::max(capacity.nominal, capacity.present);
    capacity.demonstrated +=
        0.1 * std::max(0.0, in_flight / (stretch * common_stretch) - capacity.demonstrated);
  }

  // The moving average of the counter up to now. Its window grows with the number of sharers.
  double MeanOf(const InFlightCounter& counter, int sharers) const {
    constexpr Ms kPerSharer = kSecond / 5, kMaxWindow = 4 * kSecond;
    return counter.mean + (counter.current - counter.mean) *
                              (1 - std::exp((counter.updated_at - now) /
                                            std::min(kPerSharer * sharers, kMaxWindow)));
  }
  // The attempts in flight of all fronts that share an endpoint or link: this front's as they are,
  // and for each of the others as many as this front had on average, since all fronts route alike.
  // Guards against one attempt counting as dozens where many fronts share. Cost: load that only
  // other fronts send is not seen, and a change shows late.
  double InFlightOfAllFronts(const InFlightCounter& counter, int sharers) const {
    return counter.current + (sharers - 1) * MeanOf(counter, sharers);
  }
  void SetCurrent(InFlightCounter& counter, int sharers, double current) const {
    counter = {current, MeanOf(counter, sharers), now};
  }
  void AddInFlight(Endpoint& endpoint, double change) const {
    SetCurrent(endpoint.in_flight, SharersOf(endpoint), endpoint.in_flight.current + change);
  }

  // Transfers in flight at an endpoint, with one more of this front, over those that it carries.
  double Utilisation(const Endpoint& endpoint) const {
    return (InFlightOfAllFronts(endpoint.in_flight, SharersOf(endpoint)) + 1) /
           (EffectiveCapacity(endpoint.capacity) * endpoints.RampWeight(endpoint));
  }
  // The number of fronts that send to the endpoint.
  int SharersOf(const Endpoint& endpoint) const {
    return endpoint.role == Role::kLocalCache ? settings.fronts_in_zone : settings.fronts;
  }

  // Estimates a link of unknown capacity: a third of the caches' nominal capacity, since about that
  // share of requests misses; or half of it without weights, since nominal capacities are then low.
  // Fills correct the estimate.
  void EstimateLink() {
    if (has_configured_link)
      return;
    link.nominal = 0;
    for (const Endpoint* cache : endpoints.caches)
      link.nominal += cache->capacity.nominal / (endpoints.has_weights ? 3 : 2);
    if (link.present <= 0)
      link.present = link.nominal;
  }

  // By the fills in flight of the fronts; or as caches report it, fading until the next report, if
  // that is higher.
  double LinkUtilisation() const {
    // Much longer than a report is under way. Attempts without a fill go on while the link is busy,
    // and bring new reports.
    constexpr Ms kFade = 5 * kSecond;
    double own = (InFlightOfAllFronts(fills_in_flight, settings.fronts_in_zone) + 1) /
                 EffectiveCapacity(link);
    return link_reported_at > kLongAgo
               ? std::max(own,
                          reported_link_utilisation * std::exp((link_reported_at - now) / kFade))
               : own;
  }
  bool IsLinkKnown() const {
    return has_configured_link || link_reported_at > kLongAgo;
  }
  // 20 is no real number of sharers: it gives MeanOf() a window of four seconds.
  void SampleLink() {
    SetCurrent(link_utilisation, 20, LinkUtilisation());
  }
  double MeanLinkUtilisation() const {
    return MeanOf(link_utilisation, 20);
  }
  void AddFillsInFlight(double change) {
    SetCurrent(fills_in_flight, settings.fronts_in_zone, fills_in_flight.current + change);
  }
  void LearnLinkReport(const std::vector<float>& load_report) {
    double reported =
        std::clamp(ReportedValue(load_report, settings.link_report_index), 0.0, 100.0);
    if (has_configured_link || !std::isfinite(reported))
      return;  // the report comes from another host, and may be missing or invalid
    double before = link_reported_at > kLongAgo ? reported_link_utilisation : reported;
    reported_link_utilisation = before + 0.5 * (reported - before);  // reports are noisy
    link_reported_at = now;
  }
};

}  // namespace dunlinwick::logic
