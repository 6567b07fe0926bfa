// Load: how many transfers a machine or the link carries (its room), how many are out (its tally), its level.
#pragma once
#include "logic/roster.hpp"

namespace dunlinwick::logic {

struct Load : Part {
  Roster& roster;
  const bool linkTold = f.linkRoom > 0;
  Room link{0, f.linkRoom};
  Tally fills{}, linkLevels{};  // fills out through the link; its level
  double linkSaid = 0;          // how full the link is, as caches report it
  Ms linkSaidAt = longAgo;

  // Room: how many transfers a machine or link carries at full pace. A crowded answer shows it (held over
  // stretch), an uncrowded one that it is at least what was held; unused, it goes back to what goes by size.
  // Guards against slow, pausing and overrated machines. Harm: a slow way to clients.
  double carries(const Room& r) const {
    constexpr Ms fade = 5 * second;  // a slow machine is asked again within seconds, by a few pulls first
    double usual = std::pow(std::max(1.0, r.nominal / r.fits), 1 - std::exp((r.learntAt - now) / fade));
    return std::max(0.25, r.fits * usual);
  }
  // `usual`: how much everything is stretched just now, for reasons that are not this machine's.
  void learn(Room& r, double held, Ms own, Ms took, double usual = 1, double grow = 1.05) const {
    constexpr Ms tooShort = 10;  // below, the way there outweighs the sending
    if (own < tooShort) return;
    double stretch = std::max(1.0, took / (own * usual));
    r.fits = carries(r), r.learntAt = now;
    double step = std::clamp(0.05 * stretch, 0.1, 0.3);  // the plainer the sign, the larger the step
    if (stretch > 1.5) r.fits += step * (std::min(held / stretch, r.fits) - r.fits);
    if (stretch < 1.25) r.fits = std::max(r.fits, std::min(held, grow * r.fits));
    r.nominal = std::max(r.nominal, r.fits);
    r.proven += 0.1 * std::max(0.0, held / (stretch * usual) - r.proven);
  }

  // Legs of all fronts that share something: ours as they stand, and for each of the others as many as we had
  // on average, since they are sent alike. Guards against one leg looking like dozens where many share. Harm:
  // what only other fronts send is not seen, and a swing shows late.
  double meanOf(const Tally& t, int sharing) const {
    constexpr Ms each = second / 5, most = 4 * second;  // the rarer our legs, the longer it takes
    return t.mean + (t.out - t.mean) * (1 - std::exp((t.at - now) / std::min(each * sharing, most)));
  }
  double together(const Tally& t, int sharing) const { return t.out + (sharing - 1) * meanOf(t, sharing); }
  void count(Tally& t, int sharing, double out) const { t = {out, meanOf(t, sharing), now}; }
  void count(Machine& m, double by) const { count(m.legs, sharers(m), m.legs.out + by); }

  // Transfers per transfer it can carry, with one more of ours.
  double level(const Machine& m) const {
    return (together(m.legs, sharers(m)) + 1) / (carries(m.room) * roster.warmth(m));
  }
  int sharers(const Machine& m) const { return m.role == Role::store ? f.crew : f.fronts; }

  // A link not told: a third of what the caches carry, for a usual share of misses; half where that is a low
  // guess itself, for want of weights. Fills correct it.
  void expectLink() {
    if (linkTold) return;
    link.nominal = 0;
    for (const Machine* m : roster.stores) link.nominal += m->room.nominal / (roster.weighed ? 3 : 2);
    if (link.fits <= 0) link.fits = link.nominal;
  }

  // As caches report it, where they do, fading until the next word; else by our own legs.
  double linkLevel() const {
    constexpr Ms fade = 5 * second;  // long beside the reports' delay; a look brings the next
    double own = (together(fills, f.crew) + 1) / carries(link);
    return linkSaidAt > longAgo ? std::max(own, linkSaid * std::exp((linkSaidAt - now) / fade)) : own;
  }
  bool linkKnown() const { return linkTold || linkSaidAt > longAgo; }
  void look() { count(linkLevels, 20, linkLevel()); }  // as twenty that share it: over four seconds
  double lasting() const { return meanOf(linkLevels, 20); }
  void countFill(double by) { count(fills, f.crew, fills.out + by); }
  void hearLink(const std::vector<float>& report) {
    double said = std::clamp(reported(report, f.linkReport), 0.0, 100.0);
    if (linkTold || !std::isfinite(said)) return;                                 // a peer's word
    linkSaid = linkSaidAt > longAgo ? linkSaid + 0.5 * (said - linkSaid) : said;  // reports are noisy
    linkSaidAt = now;
  }
};

}  // namespace dunlinwick::logic
