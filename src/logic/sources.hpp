// Sources: where a miss is filled from, and what fills tell of their sources' pace and of the origin.
#pragma once
#include "logic/choice.hpp"

namespace dunlinwick::logic {

struct Sources : Part {
  const Purges& purges;
  Load& load;
  Choice& choice;
  Ms originWait = 0, originCalm = 0;  // until its first byte comes, lately and as usual
  Ms fillWait = 0;                    // of the usual fill until its first byte, where answers don't tell

  // A cache of the location that finished the part within omega, when its home has moved; else the object's
  // parent, moving on in hash order; else the origin. nullptr: no fill.
  Machine* sourceFor(Pull& p, const Machine& at) const {
    Machine *origin = load.roster.origin, *last = p.lastAt;
    auto open = [&](Machine* m) {
      return choice.health.judge(*m) && !p.hasFailed(m) && choice.cold.affords(*m, choice.cold.workOf(p));
    };
    if (p.ware->neverKept && origin && open(origin)) return origin;
    if (f.lateral && !p.siblingLacked && last && last != &at && last->isCache() && last->zone == at.zone &&
        p.gap < p.ware->omega && purges.at(p) == longAgo && open(last) && load.level(*last) < 1.5)
      return last;
    std::vector<Machine*> able;
    auto addAble = [&](bool held) {
      for (Machine* m : load.roster.inOrder(load.roster.parents, p.object))
        if (open(m) && inTime(p, *m, held)) able.push_back(m);
    };
    addAble(false);
    // None in time with what they fetch: one that is with what it holds is asked for that only.
    bool other = origin && open(origin) && inTime(p, *origin);
    if ((p.heldOnly = able.empty() && !other)) addAble(true);
    std::stable_partition(able.begin(), able.end(), [&](const Machine* m) {
      return fraction(mixed(~p.object ^ mixed(m->cache))) < shareOf(*m);
    });
    Machine* best = able.empty() ? nullptr : choice.firstInBounds(able, p);
    if (best && load.level(*best) <= choice.bearable(p)) return best;
    return other && (!best || load.level(*origin) < load.level(*best)) ? origin : best;
  }

  // While the origin is slow beside its calm, only as large a share of misses leads to it; others ask a
  // parent for what it holds, else are declined. Harm: a lasting change of pace is first taken for trouble.
  bool sparesOrigin(const Pull& p) const {
    constexpr double slow = 3, look = 0.1;  // calm answers vary by less; a tenth shows when it is calm again
    if (originWait <= slow * originCalm) return false;
    bool late = originWait + p.sending > p.agreedAt - now;  // what it sends comes too late to be worth it
    return drawn() > (late ? look : slow * originCalm / originWait);
  }
  void learnOrigin(Ms waited) {
    if (originCalm <= 0) originCalm = originWait = waited;
    originWait += 0.1 * (waited - originWait);
    originCalm += (waited < originCalm ? 0.1 : 0.003) * (waited - originCalm);
  }

  // The share of its objects that a source keeps: cut when a fill is stretched beyond the best source's, once
  // for all legs then out, and grown by good ones. Guards against sources that many fronts crowd, whose legs
  // no front can count. Harm: the same objects move on at all fronts, and are fetched anew there.
  double shareOf(const Machine& m) const {
    constexpr Ms whole = 50 * second;  // forgiven at leisure where nothing is asked of it any more
    return std::min(1.0, m.share + std::min(whole, now - m.shareAt) / whole);
  }
  void shift(Machine& from, const Leg& leg, double stretch) const {
    constexpr double least = 0.05, cut = 0.7, grow = 0.02;  // about one fill in ten is then a stretched one
    if (leg.sentAt < from.cutAt) return;
    bool crowded = stretch > 2;
    from.share = crowded ? std::max(least, cut * shareOf(from)) : std::min(1.0, shareOf(from) + grow);
    from.shareAt = now, from.cutAt = crowded ? now : from.cutAt;
  }

  // Where answers don't tell what became of a fill, or how long it waited, its length stands in, beside its
  // sending and the usual wait (half the fills wait longer): by the source's last fills, fading, or by a leg
  // still out. Guards against slow sources, asked once in seconds at size. Harm: a busy second moves objects.
  double paceOf(const Machine& m, bool held) const {
    constexpr Ms fade = 30 * second;  // a front at size asks a source once in seconds; 15 s won less
    Ms at = held ? m.heldAt : m.paceAt;
    return 1 + ((held ? m.heldPace : m.pace) - 1) * std::exp((at - now) / fade);
  }
  bool inTime(const Pull& p, const Machine& m, bool held = false) const {
    constexpr double spare = 1.2;  // a pace is a mean of unlike fills; 1.0 and 1.3 won less on six draws
    if (f.remarks) return true;
    double pace = paceOf(m, held);
    for (auto& [id, other] : pulls)
      for (const Leg& leg : other.legs)
        if (leg.out && leg.source == &m && leg.held == held)
          pace = std::max(pace, (now - leg.sentAt) / (other.sending + fillWait));
    return now + spare * (p.sending + fillWait) * pace < p.agreedAt;
  }

  // A fill is stretched by the link, which all share, and by its source. The best source's pace is laid to
  // the link, what is worse to the source.
  void learnFill(const Leg& leg, Ms own, Ms took) {
    Machine& from = *leg.source;
    if (own <= 0) return;
    if (leg.held && !f.remarks) {  // tells of what it holds only, and nothing of the link
      from.heldPace = paceOf(from, true) + 0.5 * (std::max(1.0, took / own) - paceOf(from, true));
      return void(from.heldAt = now);
    }
    if (!f.remarks) from.pace = paceOf(from, false);
    double step = f.remarks ? 0.1 : 0.8;  // the last ten fills; the last one or two where they are rare
    from.pace += step * (std::max(1.0, took / own) - from.pace), from.paceAt = now;
    double best = from.pace;
    for (const Machine* m : load.roster.parents)
      if (now - m->paceAt < 5 * second) best = std::min(best, m->pace);
    shift(from, leg, took / (best * own));
    if (load.linkKnown()) best = std::min(best, std::max(1.0, load.linkLevel()));  // none beside a lone one
    load.learn(from.room, load.together(from.legs, f.fronts) + 1, own, took, best);
    double grow = f.remarks ? 1.05 : 1.02;  // slower by lengths alone: one too large costs many late fills
    if (!load.linkTold && from.pace <= 1.25 * best)
      load.learn(load.link, load.together(load.fills, f.crew) + 1, own, took, 1, grow);
  }
  // One that came whole: where answers don't tell how long it waited, the usual wait is learnt and taken off.
  void filled(const Leg& leg, Ms own, Ms took, Ms waited) {
    Ms over = std::max(1.0, took - own);
    if (f.remarks) return learnFill(leg, own, took - waited);
    fillWait = fillWait <= 0 ? over : fillWait * (over > fillWait ? 1.02 : 0.98);
    if (own > fillWait) learnFill(leg, own + fillWait, took);  // below, the wait outweighs it
  }
};

}  // namespace dunlinwick::logic
