// Legs: a pull from its coming to its answer: legs sent, what their ends say, whose fault it was, giving up.
#pragma once
#include "logic/sources.hpp"

namespace dunlinwick::logic {

struct Legs : Part {
  static constexpr Ms theWay = 5;        // connection and network inside a location, on the long side
  static constexpr Ms beforeExpiry = 4;  // two ticks: the final answer goes out before the client leaves
  Memories& memories;
  Load& load;
  Choice& choice;
  Sources& sources;

  void arrive(const PullCame& e) {
    if (e.offering >= static_cast<int>(memories.wares.size()) || pulls.count(e.pull)) return;
    Pull& p = pulls[e.pull];
    static_cast<PullCame&>(p) = e;
    Ware& w = *(p.ware = &memories.wares[static_cast<std::size_t>(e.offering)]);
    p.expiresAt = now + e.ttl;
    memories.meet(p);
    p.agreedAt = now + std::min(w.agreed + w.agreedStretch * p.sending, w.expiry);
    act(WakeMe{std::max(now, p.expiresAt - beforeExpiry), wakePull << 56 | p.pull});
    if (!choice.letsIn(p)) giveUp(p, std::max(w.meanSending, choice.admitted.comeBack));
    else choice.crowdsOut(p) ? giveUp(p, w.meanSending) : tend(p);
    pulls.forget(p);
  }

  void send(Pull& p, Machine& at, Machine* source) {
    Leg leg{&at, source == &at ? nullptr : source, now};
    // A fill passes on what it gets: held up by a full link or a crowded source it takes little of the cache.
    if (p.knownMiss && leg.source) leg.load = 1 / std::max({1.0, load.linkLevel(), leg.source->pace});
    bool outside = at.role != Role::store || (leg.source && !leg.source->isCache());
    // A leg that may yet prove a hit counts for three in ten, a usual share of misses.
    leg.fill = !outside ? 0 : p.knownMiss || at.role != Role::store ? 1 : 0.3;
    load.countFill(leg.fill);
    auto book = [&](Machine& m, double by) {
      load.count(m, by), choice.cold.charge(m, choice.cold.workOf(p)), m.trialOut |= m.aside;
    };
    book(at, leg.load);
    if (leg.source) book(*leg.source, 1);
    SendLeg a{p.pull, at.cache, source ? source->cache : at.cache, f.may.join, p.ware->freshFor > 0};
    leg.held = leg.source && leg.source->role == Role::parent && (p.heldOnly || sources.sparesOrigin(p));
    a.heldOnly = p.spared = leg.held;
    // What may run once is lost with a connection that broke unseen while idle. Harm: one more way there.
    a.proven = p.ware->effect == Effect::exclusive && f.may.probe;
    a.notAfter = choice.repeatsKnownTill(p);
    a.rank = p.rank, a.oldest = memories.purges.oldest(p);
    a.patience = std::max(1.0, p.expiresAt - now);
    act(a);
    p.legs.push_back(leg);
  }

  bool sendNext(Pull& p) {
    // Two machines that call it an error are believed: a third would say the same.
    auto erred = std::count_if(p.legs.begin(), p.legs.end(), [](const Leg& l) { return l.erred; });
    if (static_cast<int>(p.legs.size()) >= f.mostLegs || p.spared || erred >= 2) return false;
    Machine* origin = load.roster.origin;
    if (p.ware->neverKept && f.may.direct && origin && choice.health.usable(*origin) &&
        !p.hasFailed(origin) && choice.mayGo(p, *origin))
      return send(p, *origin, origin), true;
    load.look();
    Machine* at = choice.cacheFor(p);
    Machine* source = at ? sources.sourceFor(p, *at) : nullptr;
    if (!at || (!source && p.knownMiss)) return false;  // nothing can fill it: a further look only adds legs
    // When the link fills up, a pull first only looks; a miss is filled while it can be in time. Guards
    // against any surge of misses (cold caches, purges, scans, large objects). Harm: one round trip.
    if (source && !source->isCache() && !p.ware->neverKept && at->role == Role::store) {
      // A burst is borne, a level that lasts is cut to half, since sources behind the link are as crowded and
      // no front sees it; so is that of a link not told, learnt from fills that such sources stretch.
      constexpr double pressed = 0.8, least = 0.5;
      double part = load.linkKnown() ? std::clamp(1.8 - 0.6 * load.lasting(), least, 1.0) : least;
      if (p.knownMiss && load.linkLevel() > part * choice.bearable(p)) return false;
      bool canLook = !p.knownMiss && static_cast<int>(p.legs.size()) + 1 < f.mostLegs;
      if (canLook && load.linkLevel() > pressed) source = nullptr;
    }
    return send(p, *at, source), true;
  }

  void tend(Pull& p) {
    if (p.ended || p.streaming) return;
    if (now >= p.expiresAt - beforeExpiry) return giveUp(p, 0);
    if (!p.legOut() && !sendNext(p)) giveUp(p, p.ware->meanSending);
  }

  void wake(std::uint32_t pull) {
    if (Pull* p = pulls.known(pull)) tend(*p), pulls.forget(*p);
  }

  void giveUp(Pull& p, Ms retryAfter) {
    bool proven = std::all_of(p.legs.begin(), p.legs.end(), [](const Leg& l) { return l.neverRan; });
    bool repeats = p.ware->effect == Effect::ticketed && p.ware->span == Span::everywhere;
    retryAfter *= drawn(0.75, 1.25);  // so that clients don't return in step
    if (proven || repeats || p.ware->effect == Effect::rerunnable)
      act(DeclinePull{p.pull, std::min(retryAfter, f.retryLimit)});
    else act(AbandonPull{p.pull});
    finish(p);
  }

  // The pull has its final answer: losers are called off, and the pull goes when its last leg is in.
  void finish(Pull& p) { p.ended = true, callOff(p, -1); }
  void callOff(const Pull& p, int except) const {
    for (int i = 0; i < static_cast<int>(p.legs.size()); ++i)
      if (f.may.cancel && i != except && p.legs[static_cast<std::size_t>(i)].out) act(CancelLeg{p.pull, i});
  }

  void ended(LegEnded e) {
    Pull* found = pulls.known(e.pull);
    if (!found || e.leg < 0 || e.leg >= static_cast<int>(found->legs.size())) return;
    Pull& p = *found;
    Leg& leg = p.legs[static_cast<std::size_t>(e.leg)];
    if (!std::exchange(leg.out, false)) return;
    if (leg.at->role == Role::store) load.hearLink(e.report);
    load.count(*leg.at, -leg.load);
    load.countFill(-leg.fill);
    if (leg.source) load.count(*leg.source, -1);
    // Where only hits are told, what took longer than the way to the cache failed behind it, and a quick
    // refusal had no place for the fill. Guards against laying a source's refusals and silence to the caches.
    // Harm: a cache's slow refusal is laid to the source.
    if (!f.remarks && leg.source && e.remark == Remark::none) {
      if (e.ending == Ending::miss && leg.held) e.remark = Remark::sourceLacks;
      if (e.ending == Ending::full) e.remark = e.took > theWay ? Remark::sourceRefused : Remark::noFillPlace;
      if (e.ending == Ending::error && e.took > theWay) e.remark = Remark::sourceLost;
    }
    leg.neverRan = e.ending == Ending::full || e.ending == Ending::noConnection || e.ending == Ending::moot ||
                   e.ending == Ending::miss;
    leg.at->trialOut = false;
    if (leg.source) leg.source->trialOut = false;
    if (e.ending == Ending::finished || e.ending == Ending::miss || e.ending == Ending::full)
      leg.at->lastGood = std::max(leg.at->lastGood, leg.sentAt);
    e.ending == Ending::finished ? credit(p, leg, e) : blame(p, leg, e);
    if (e.final && !p.ended) finish(p);
    tend(p);
    pulls.forget(p);
  }

  // A good answer: what it shows of the cache, the source and the link.
  void credit(Pull& p, Leg& leg, const LegEnded& e) {
    choice.health.absolve(*leg.at);
    // An error may be the pull's own: it is a strike once another answers the same. Guards against clients
    // whose junk would set good caches aside. Harm: one that errs is known a leg later.
    for (const Leg& other : p.legs)
      if (other.erred) choice.health.strike(*other.at);
    bool filled = e.remark == Remark::filled || e.remark == Remark::filledByOrigin;
    bool hit = e.remark == Remark::hit || e.remark == Remark::joined || e.remark == Remark::aged;
    if (e.remark == Remark::filledByOrigin) sources.learnOrigin(e.waited);
    if (filled && leg.source) choice.health.answered(*leg.source, leg.sentAt);
    if (!leg.at->isCache() || p.ware->neverKept) return;
    if (hit || filled) memories.learnOmega(p, leg, hit);
    Ms own = p.knownSending(), took = e.took - theWay;
    if (filled && leg.source && !leg.source->isCache() && leg.at->role == Role::store)
      sources.filled(leg, own, took, e.waited);
    if (e.remark == Remark::hit) {
      load.learn(leg.at->room, load.together(leg.at->legs, f.crew) + 1, own, took);
      if (!p.ware->sendingsSeen)
        p.ware->meanSending += 0.02 * (std::min(e.took, 4 * p.ware->meanSending) - p.ware->meanSending);
    }
    p.memory->lastAt = leg.at;
  }

  // Whose fault an ending was, and whom this pull avoids from now on.
  void blame(Pull& p, Leg& leg, const LegEnded& e) {
    Machine* source = leg.source;
    bool sibling = source && source->isCache();
    Ms own = p.knownSending();
    if (e.remark != Remark::sourceLacks) p.spared = false;
    if (e.remark == Remark::originFailed) sources.learnOrigin(std::max(e.waited, 10 * sources.originCalm));
    // A fill that was refused, lost or called off late shows a crowded source as well as a slow one does. Not
    // known as a miss, it is taken for a fill where the cache has answered what was sent later.
    bool fill = p.knownMiss || (!f.remarks && leg.at->lastGood > leg.sentAt);
    if (!f.remarks) own += sources.fillWait;
    if (source && !sibling && (e.remark == Remark::sourceRefused || (fill && e.took > 3 * own)))
      sources.learnFill(leg, own, std::max(e.took, 3 * own));
    if (e.ending == Ending::miss || e.remark == Remark::noFillPlace) {
      // No fault: the cache lacks it, or has no place to fill it but still serves hits.
      if (e.remark == Remark::noFillPlace || (!sibling && p.knownMiss)) p.failed.push_back(leg.at);
      p.siblingLacked |= sibling, p.knownMiss = true;
    } else if (source && e.remark >= Remark::sourceRefused && e.remark <= Remark::originFailed) {
      p.siblingLacked |= sibling, p.knownMiss = true;
      p.failed.push_back(source);
      if (e.remark == Remark::sourceRefused) source->fullUntil = now + second / 10;
      if (e.remark == Remark::sourceLost) choice.health.strike(*source);
    } else if (e.ending == Ending::full) {
      leg.at->fullUntil = now + second / 20;  // its queue needs a moment
      p.failed.push_back(leg.at);
    } else if (e.ending != Ending::cancelled && e.ending != Ending::moot && e.fellWith == 0) {
      p.failed.push_back(leg.at);
      if (e.ours) return;  // a descriptor was wanting here: it tells nothing of the machine
      leg.at->mayBeNew |= e.ending == Ending::noConnection || (leg.at->aside && e.ending == Ending::broken);
      if (!(leg.erred = e.ending == Ending::error)) choice.health.strike(*leg.at);
    }
  }
};

}  // namespace dunlinwick::logic
