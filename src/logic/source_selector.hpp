// Source selection: which source a miss is filled from, and what fills show about their sources and
// the origin.
#pragma once
#include "logic/endpoint_selector.hpp"

namespace dunlinwick::logic {

struct SourceSelector : PolicyContext {
  const Purges& purges;
  Load& load;
  EndpointSelector& selector;
  Ms origin_wait = 0;           // until the origin's first byte, lately
  Ms origin_baseline_wait = 0;  // the same as it usually is
  Ms typical_fill_wait = 0;  // of a fill until its first byte, learnt where answers don't report it

  // The origin for uncacheable requests, if it is available. Otherwise a cache of the zone that
  // served the part within the idle window, when the object has moved to another cache since.
  // Otherwise a parent, by consistent hashing with bounded loads; or the origin, where no parent is
  // available, or where the parent is busier than the request tolerates and than the origin.
  // nullptr: no fill.
  Endpoint* SelectSource(Request& request, const Endpoint& cache) const {
    Endpoint *origin = load.endpoints.origin, *last_cache = request.last_cache;
    auto is_available = [&](Endpoint* source) {
      return selector.health.CheckUsable(*source) && !request.IsExcluded(source) &&
             selector.slow_start.CanAfford(*source, selector.slow_start.WorkOf(request));
    };
    if (request.class_state->uncacheable && origin && is_available(origin))
      return origin;
    if (settings.fills_from_siblings && !request.sibling_missed && last_cache &&
        last_cache != &cache && last_cache->IsCache() && last_cache->zone == cache.zone &&
        request.idle_time < request.class_state->idle_window &&
        purges.LatestFor(request) == kLongAgo && is_available(last_cache) &&
        load.Utilisation(*last_cache) < 1.5)
      return last_cache;
    std::vector<Endpoint*> candidates;
    auto add_candidates = [&](bool only_if_cached) {
      for (Endpoint* parent :
           load.endpoints.InRendezvousOrder(load.endpoints.parents, request.object))
        if (is_available(parent) && CanMeetObjective(request, *parent, only_if_cached))
          candidates.push_back(parent);
    };
    add_candidates(false);
    // If no source can fetch the object in time, a parent that delivers what it has cached in time
    // gets a fill with only_if_cached.
    bool use_origin = origin && is_available(origin) && CanMeetObjective(request, *origin);
    if ((request.only_if_cached = candidates.empty() && !use_origin))
      add_candidates(true);
    std::stable_partition(candidates.begin(), candidates.end(), [&](const Endpoint* parent) {
      return UnitFraction(MixHash(~request.object ^ MixHash(parent->id))) < ObjectShareOf(*parent);
    });
    Endpoint* best =
        candidates.empty() ? nullptr : selector.SelectByBoundedLoad(candidates, request);
    if (best && load.Utilisation(*best) <= selector.MaxUtilisation(request))
      return best;
    return use_origin && (!best || load.Utilisation(*origin) < load.Utilisation(*best)) ? origin
                                                                                        : best;
  }

  // While the origin's wait is over three times its usual one, only a share of the misses may reach
  // it, the smaller the slower it is, and a tenth of those that would be late anyway. The others
  // get a fill with only_if_cached from a parent, and are rejected if it lacks the object. Cost: a
  // lasting change of the origin's speed is taken for a disturbance at first.
  bool SparesOrigin(const Request& request) const {
    constexpr double kSlowdown = 3, kMinShare = 0.1;
    if (origin_wait <= kSlowdown * origin_baseline_wait)
      return false;
    bool is_late = origin_wait + request.transfer_time > request.objective_at - now;
    return Uniform() > (is_late ? kMinShare : kSlowdown * origin_baseline_wait / origin_wait);
  }
  void LearnOriginWait(Ms wait) {
    if (origin_baseline_wait <= 0)
      origin_baseline_wait = origin_wait = wait;
    origin_wait += 0.1 * (wait - origin_wait);
    origin_baseline_wait +=
        (wait < origin_baseline_wait ? 0.1 : 0.003) * (wait - origin_baseline_wait);
  }

  // The share of the objects that hash to a source which it keeps: reduced when a fill is slowed
  // down beyond the best source's, once for all attempts in flight at that time, and increased by
  // good fills. Guards against sources that many fronts overload, whose attempts no single front
  // can count. Cost: the same objects move at all fronts, and are fetched again at other sources.
  double ObjectShareOf(const Endpoint& source) const {
    constexpr Ms kRecovery = 50 * kSecond;  // until the whole share is back without any fills
    return std::min(
        1.0, source.object_share + std::min(kRecovery, now - source.object_share_at) / kRecovery);
  }
  void AdjustObjectShare(Endpoint& source, const Attempt& attempt, double stretch) const {
    constexpr double kMinShare = 0.05, kDecrease = 0.7, kIncrease = 0.02;
    if (attempt.sent_at < source.object_share_cut_at)
      return;
    bool is_overloaded = stretch > 2;
    source.object_share = is_overloaded ? std::max(kMinShare, kDecrease * ObjectShareOf(source))
                                        : std::min(1.0, ObjectShareOf(source) + kIncrease);
    source.object_share_at = now;
    source.object_share_cut_at = is_overloaded ? now : source.object_share_cut_at;
  }

  // The slowdown of the source's latest fills; it fades to 1, which is none. Where answers carry no
  // cache status, it is measured against the transfer time plus the median wait. CanMeetObjective()
  // then also counts attempts in flight; where answers carry a cache status it is always true.
  // Guards against slow sources that get only one attempt in some seconds from each of many fronts.
  // Cost: a short disturbance moves objects to other sources.
  double FillStretchOf(const Endpoint& source, bool only_if_cached) const {
    constexpr Ms kFade = 30 * kSecond;  // each of many fronts fills from a source once in seconds
    Ms learnt_at = only_if_cached ? source.cached_fill_stretch_at : source.fill_stretch_at;
    return 1 + ((only_if_cached ? source.cached_fill_stretch : source.fill_stretch) - 1) *
                   std::exp((learnt_at - now) / kFade);
  }
  bool CanMeetObjective(const Request& request, const Endpoint& source,
                        bool only_if_cached = false) const {
    constexpr double kMargin = 1.2;  // the stretch is a mean of differing fills
    if (settings.reports_cache_status)
      return true;
    double stretch = FillStretchOf(source, only_if_cached);
    for (auto& [id, other] : requests)
      for (const Attempt& attempt : other.attempts)
        if (attempt.in_flight && attempt.source == &source &&
            attempt.only_if_cached == only_if_cached)
          stretch = std::max(stretch,
                             (now - attempt.sent_at) / (other.transfer_time + typical_fill_wait));
    return now + kMargin * (request.transfer_time + typical_fill_wait) * stretch <
           request.objective_at;
  }

  // A fill is slowed down by the link, which all fills share, and by its source. The best source's
  // stretch is attributed to the link, any excess over it to the source.
  void LearnFill(const Attempt& attempt, Ms uncontended, Ms duration) {
    Endpoint& source = *attempt.source;
    if (uncontended <= 0)
      return;
    // A fill with only_if_cached shows only how the source delivers what it has cached, and nothing
    // about the link.
    if (attempt.only_if_cached && !settings.reports_cache_status) {
      source.cached_fill_stretch =
          FillStretchOf(source, true) +
          0.5 * (std::max(1.0, duration / uncontended) - FillStretchOf(source, true));
      return void(source.cached_fill_stretch_at = now);
    }
    if (!settings.reports_cache_status)
      source.fill_stretch = FillStretchOf(source, false);
    // Averages over the last ten fills, or over one or two.
    double step = settings.reports_cache_status ? 0.1 : 0.8;
    source.fill_stretch += step * (std::max(1.0, duration / uncontended) - source.fill_stretch);
    source.fill_stretch_at = now;
    double best = source.fill_stretch;
    for (const Endpoint* parent : load.endpoints.parents)
      if (now - parent->fill_stretch_at < 5 * kSecond)
        best = std::min(best, parent->fill_stretch);
    AdjustObjectShare(source, attempt, duration / (best * uncontended));
    if (load.IsLinkKnown())
      best = std::min(best, std::max(1.0, load.LinkUtilisation()));  // for a source without others
                                                                     // to compare with
    load.LearnCapacity(source.capacity,
                       load.InFlightOfAllFronts(source.in_flight, settings.fronts) + 1, uncontended,
                       duration, best);
    // Slower where durations are all there is to learn from.
    double growth = settings.reports_cache_status ? 1.05 : 1.02;
    if (!load.has_configured_link && source.fill_stretch <= 1.25 * best)
      load.LearnCapacity(
          load.link, load.InFlightOfAllFronts(load.fills_in_flight, settings.fronts_in_zone) + 1,
          uncontended, duration, 1, growth);
  }
  // A fill that succeeded. Where answers don't report how long it waited, the typical wait is
  // learnt and counted as part of an uncontended fill.
  void LearnFinishedFill(const Attempt& attempt, Ms uncontended, Ms duration, Ms wait) {
    Ms excess = std::max(1.0, duration - uncontended);
    if (settings.reports_cache_status)
      return LearnFill(attempt, uncontended, duration - wait);
    typical_fill_wait = typical_fill_wait <= 0
                            ? excess
                            : typical_fill_wait * (excess > typical_fill_wait ? 1.02 : 0.98);
    if (uncontended > typical_fill_wait)
      LearnFill(attempt, uncontended + typical_fill_wait, duration);  // otherwise the wait
                                                                      // outweighs the transfer
  }
};

}  // namespace dunlinwick::logic
