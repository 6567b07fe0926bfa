// Sources: where a miss is filled from, and what fills tell of their sources and of the origin.
#pragma once
#include "logic/choice.hpp"

namespace dunlinwick::logic {

struct Sources : Part {
  const Purges& purges;
  Load& load;
  Choice& choice;
  Ms originWait = 0;
  Ms origin_calm = 0;  // until its first byte comes, lately and as usual
  Ms fill_wait = 0;    // of the usual fill until its first byte, where answers don't tell

  // A cache of the location that finished the part within omega, when its home has moved; else the
  // object's parent, moving on in hash order; else the origin. nullptr: no fill.
  Machine* SourceFor(Request& p, const Machine& at) const {
    Machine *origin = load.roster.origin, *last = p.last_at;
    auto open = [&](Machine* m) {
      return choice.health.Judge(*m) && !p.HasFailed(m) &&
             choice.cold.Affords(*m, choice.cold.WorkOf(p));
    };
    if (p.class_state->never_kept && origin && open(origin))
      return origin;
    if (f.lateral && !p.sibling_lacked && last && last != &at && last->IsCache() &&
        last->zone == at.zone && p.gap < p.class_state->omega && purges.at(p) == kLongAgo &&
        open(last) && load.level(*last) < 1.5)
      return last;
    std::vector<Machine*> able;
    auto add_able = [&](bool held) {
      for (Machine* m : load.roster.InOrder(load.roster.parents, p.object))
        if (open(m) && InTime(p, *m, held))
          able.push_back(m);
    };
    add_able(false);
    // None in time with what they fetch: one that is with what it holds is asked for that only.
    bool other = origin && open(origin) && InTime(p, *origin);
    if ((p.held_only = able.empty() && !other))
      add_able(true);
    std::stable_partition(able.begin(), able.end(), [&](const Machine* m) {
      return Fraction(Mixed(~p.object ^ Mixed(m->cache))) < ShareOf(*m);
    });
    Machine* best = able.empty() ? nullptr : choice.FirstInBounds(able, p);
    if (best && load.level(*best) <= choice.MaxUtilisation(p))
      return best;
    return other && (!best || load.level(*origin) < load.level(*best)) ? origin : best;
  }

  // While the origin is slow beside its calm, only as large a share of misses leads to it; others
  // ask a parent for what it holds, else are declined. Harm: a lasting change of pace is first
  // taken for trouble.
  bool SparesOrigin(const Request& p) const {
    constexpr double kSlow = 3, kLook = 0.1;
    if (originWait <= kSlow * origin_calm)
      return false;
    bool late = originWait + p.sending > p.agreed_at - now;
    return Drawn() > (late ? kLook : kSlow * origin_calm / originWait);
  }
  void LearnOrigin(Ms waited) {
    if (origin_calm <= 0)
      origin_calm = originWait = waited;
    originWait += 0.1 * (waited - originWait);
    origin_calm += (waited < origin_calm ? 0.1 : 0.003) * (waited - origin_calm);
  }

  // The share of its objects that a source keeps: cut when a fill is stretched beyond the best
  // source's, once for all legs then out, and grown by good ones. Guards against sources that many
  // fronts crowd, whose legs no front can count. Harm: the same objects move on at all fronts, and
  // are fetched anew there.
  double ShareOf(const Machine& m) const {
    constexpr Ms kWhole = 50 * kSecond;  // until it is forgiven where nothing is asked of it
    return std::min(1.0, m.share + std::min(kWhole, now - m.share_at) / kWhole);
  }
  void Shift(Machine& from, const Attempt& attempt, double stretch) const {
    constexpr double kLeast = 0.05, kCut = 0.7, kGrow = 0.02;
    if (attempt.sent_at < from.cut_at)
      return;
    bool crowded = stretch > 2;
    from.share =
        crowded ? std::max(kLeast, kCut * ShareOf(from)) : std::min(1.0, ShareOf(from) + kGrow);
    from.share_at = now;
    from.cut_at = crowded ? now : from.cut_at;
  }

  // Where answers don't tell what became of a fill, or how long it waited, its length stands in,
  // beside its sending and the usual wait (half the fills wait longer): by the source's last fills,
  // fading, or by a leg still out. Guards against slow sources, asked once in seconds at size.
  // Harm: a busy second moves objects.
  double PaceOf(const Machine& m, bool held) const {
    constexpr Ms kFade = 30 * kSecond;  // many replicas ask a source once in seconds each
    Ms at = held ? m.held_at : m.pace_at;
    return 1 + ((held ? m.held_pace : m.pace) - 1) * std::exp((at - now) / kFade);
  }
  bool InTime(const Request& p, const Machine& m, bool held = false) const {
    constexpr double kSpare = 1.2;  // a pace is a mean of unlike fills
    if (f.remarks)
      return true;
    double pace = PaceOf(m, held);
    for (auto& [id, other] : requests)
      for (const Attempt& attempt : other.attempts)
        if (attempt.out && attempt.source == &m && attempt.held == held)
          pace = std::max(pace, (now - attempt.sent_at) / (other.sending + fill_wait));
    return now + kSpare * (p.sending + fill_wait) * pace < p.agreed_at;
  }

  // A fill is stretched by the link, which all share, and by its source. The best source's pace is
  // laid to the link, what is worse to the source.
  void LearnFill(const Attempt& attempt, Ms own, Ms took) {
    Machine& from = *attempt.source;
    if (own <= 0)
      return;
    if (attempt.held && !f.remarks) {  // tells of what it holds only, and nothing of the link
      from.held_pace = PaceOf(from, true) + 0.5 * (std::max(1.0, took / own) - PaceOf(from, true));
      return void(from.held_at = now);
    }
    if (!f.remarks)
      from.pace = PaceOf(from, false);
    double step = f.remarks ? 0.1 : 0.8;  // of the last ten fills; of one or two
    from.pace += step * (std::max(1.0, took / own) - from.pace);
    from.pace_at = now;
    double best = from.pace;
    for (const Machine* m : load.roster.parents)
      if (now - m->pace_at < 5 * kSecond)
        best = std::min(best, m->pace);
    Shift(from, attempt, took / (best * own));
    if (load.LinkKnown())
      best = std::min(best, std::max(1.0, load.LinkLevel()));  // none beside a lone one
    load.Learn(from.room, load.Together(from.attempts, f.fronts) + 1, own, took, best);
    double grow = f.remarks ? 1.05 : 1.02;  // slower where it goes by lengths alone
    if (!load.link_notified && from.pace <= 1.25 * best)
      load.Learn(load.link, load.Together(load.fills, f.zone_replicas) + 1, own, took, 1, grow);
  }
  // One that came whole: where answers don't tell how long it waited, the usual wait is learnt and
  // taken off.
  void Filled(const Attempt& attempt, Ms own, Ms took, Ms waited) {
    Ms over = std::max(1.0, took - own);
    if (f.remarks)
      return LearnFill(attempt, own, took - waited);
    fill_wait = fill_wait <= 0 ? over : fill_wait * (over > fill_wait ? 1.02 : 0.98);
    if (own > fill_wait)
      LearnFill(attempt, own + fill_wait, took);  // below, the wait outweighs it
  }
};

}  // namespace dunlinwick::logic
