// Load: how many transfers a server or the link carries, how many are out, its utilisation.
#pragma once
#include "logic/roster.hpp"

namespace dunlinwick::logic {

struct Load : Part {
  Roster& roster;
  const bool link_notified = f.link_room > 0;
  Room link{0, f.link_room};
  Tally fills{};
  Tally link_levels{};   // fills out through the link; its level
  double link_said = 0;  // how full the link is, as caches report it
  Ms link_said_at = kLongAgo;

  // Room: how many transfers a machine or link carries at full pace. A crowded answer shows it
  // (held over stretch), an uncrowded one that it is at least what was held; unused, it goes back
  // to what goes by size. Guards against slow, pausing and overrated machines. Harm: a slow way to
  // clients.
  double Carries(const Room& r) const {
    constexpr Ms kFade = 5 * kSecond;  // a slow server is asked again within seconds
    double usual =
        std::pow(std::max(1.0, r.nominal / r.fits), 1 - std::exp((r.learnt_at - now) / kFade));
    return std::max(0.25, r.fits * usual);
  }
  // `usual`: how much everything is stretched just now, for reasons that are not this machine's.
  void Learn(Room& r, double held, Ms own, Ms took, double usual = 1, double grow = 1.05) const {
    constexpr Ms kTooShort = 10;  // below, the way there outweighs the sending
    if (own < kTooShort)
      return;
    double stretch = std::max(1.0, took / (own * usual));
    r.fits = Carries(r);
    r.learnt_at = now;
    double step = std::clamp(0.05 * stretch, 0.1, 0.3);  // the plainer, the larger
    if (stretch > 1.5)
      r.fits += step * (std::min(held / stretch, r.fits) - r.fits);
    if (stretch < 1.25)
      r.fits = std::max(r.fits, std::min(held, grow * r.fits));
    r.nominal = std::max(r.nominal, r.fits);
    r.proven += 0.1 * std::max(0.0, held / (stretch * usual) - r.proven);
  }

  // Legs of all fronts that share something: ours as they stand, and for each of the others as many
  // as we had on average, since they are sent alike. Guards against one leg looking like dozens
  // where many share. Harm: what only other fronts send is not seen, and a swing shows late.
  double MeanOf(const Tally& t, int sharing) const {
    constexpr Ms kEach = kSecond / 5, kMost = 4 * kSecond;
    return t.mean +
           (t.out - t.mean) * (1 - std::exp((t.at - now) / std::min(kEach * sharing, kMost)));
  }
  double Together(const Tally& t, int sharing) const {
    return t.out + (sharing - 1) * MeanOf(t, sharing);
  }
  void Count(Tally& t, int sharing, double out) const {
    t = {out, MeanOf(t, sharing), now};
  }
  void Count(Machine& m, double by) const {
    Count(m.attempts, Sharers(m), m.attempts.out + by);
  }

  // Transfers per transfer it can carry, with one more of ours.
  double level(const Machine& m) const {
    return (Together(m.attempts, Sharers(m)) + 1) / (Carries(m.room) * roster.Warmth(m));
  }
  int Sharers(const Machine& m) const {
    return m.role == Role::kStore ? f.zone_replicas : f.fronts;
  }

  // A link not told: a third of what the caches carry, for a usual share of misses; half where that
  // is a low guess itself, for want of weights. Fills correct it.
  void ExpectLink() {
    if (link_notified)
      return;
    link.nominal = 0;
    for (const Machine* m : roster.stores)
      link.nominal += m->room.nominal / (roster.weighed ? 3 : 2);
    if (link.fits <= 0)
      link.fits = link.nominal;
  }

  // As caches report it, where they do, fading until the next word; else by our own legs.
  double LinkLevel() const {
    constexpr Ms kFade = 5 * kSecond;  // long beside the reports' delay; a look brings the next
    double own = (Together(fills, f.zone_replicas) + 1) / Carries(link);
    return link_said_at > kLongAgo
               ? std::max(own, link_said * std::exp((link_said_at - now) / kFade))
               : own;
  }
  bool LinkKnown() const {
    return link_notified || link_said_at > kLongAgo;
  }
  void Look() {
    Count(link_levels, 20, LinkLevel());
  }  // as twenty that share it: over four seconds
  double Lasting() const {
    return MeanOf(link_levels, 20);
  }
  void CountFill(double by) {
    Count(fills, f.zone_replicas, fills.out + by);
  }
  void HearLink(const std::vector<float>& report) {
    double said = std::clamp(Reported(report, f.link_report), 0.0, 100.0);
    if (link_notified || !std::isfinite(said))
      return;  // a peer's word
    double before = link_said_at > kLongAgo ? link_said : said;
    link_said = before + 0.5 * (said - before);  // reports are noisy
    link_said_at = now;
  }
};

}  // namespace dunlinwick::logic
