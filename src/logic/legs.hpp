// Legs: a pull from its coming to its answer: legs sent, what their ends say, whose fault it was,
// giving up.
#pragma once
#include "logic/sources.hpp"

namespace dunlinwick::logic {

struct Legs : Part {
  static constexpr Ms kTheWay = 5;  // connection and network inside a location, on the long side
  static constexpr Ms kBeforeExpiry =
      4;  // two ticks: the final answer goes out before the client leaves
  Memories& memories;
  Load& load;
  Choice& choice;
  Sources& sources;

  void Arrive(const PullCame& e) {
    if (e.offering >= static_cast<int>(memories.wares.size()) || pulls.count(e.pull))
      return;
    Pull& p = pulls[e.pull];
    static_cast<PullCame&>(p) = e;
    Ware& w = *(p.ware = &memories.wares[static_cast<std::size_t>(e.offering)]);
    p.expires_at = now + e.ttl;
    memories.Meet(p);
    p.agreed_at = now + std::min(w.agreed + w.agreed_stretch * p.sending, w.expiry);
    Act(WakeMe{std::max(now, p.expires_at - kBeforeExpiry), kWakePull << 56 | p.pull});
    if (!choice.LetsIn(p))
      GiveUp(p, std::max(w.mean_sending, choice.admitted.come_back));
    else
      choice.CrowdsOut(p) ? GiveUp(p, w.mean_sending) : Tend(p);
    pulls.Forget(p);
  }

  void Send(Pull& p, Machine& at, Machine* source) {
    Leg leg{&at, source == &at ? nullptr : source, now};
    // A fill passes on what it gets: held up by a full link or a crowded source it takes little of
    // the cache.
    if (p.known_miss && leg.source)
      leg.load = 1 / std::max({1.0, load.LinkLevel(), leg.source->pace});
    bool outside = at.role != Role::kStore || (leg.source && !leg.source->IsCache());
    // A leg that may yet prove a hit counts for three in ten, a usual share of misses.
    leg.fill = !outside ? 0 : p.known_miss || at.role != Role::kStore ? 1 : 0.3;
    load.CountFill(leg.fill);
    auto book = [&](Machine& m, double by) {
      load.Count(m, by);
      choice.cold.Charge(m, choice.cold.WorkOf(p));
      m.trial_out |= m.aside;
    };
    book(at, leg.load);
    if (leg.source)
      book(*leg.source, 1);
    SendLeg a{p.pull, at.cache, source ? source->cache : at.cache, f.may.join,
              p.ware->fresh_for > 0};
    leg.held =
        leg.source && leg.source->role == Role::kParent && (p.held_only || sources.SparesOrigin(p));
    a.held_only = p.spared = leg.held;
    // What may run once is lost with a connection that broke unseen while idle. Harm: one more way
    // there.
    a.proven = p.ware->effect == Effect::kExclusive && f.may.probe;
    a.not_after = choice.RepeatsKnownTill(p);
    a.rank = p.rank;
    a.oldest = memories.purges.Oldest(p);
    a.patience = std::max(1.0, p.expires_at - now);
    Act(a);
    p.legs.push_back(leg);
  }

  bool SendNext(Pull& p) {
    // Two machines that call it an error are believed: a third would say the same.
    auto erred = std::count_if(p.legs.begin(), p.legs.end(), [](const Leg& l) { return l.erred; });
    if (static_cast<int>(p.legs.size()) >= f.most_legs || p.spared || erred >= 2)
      return false;
    Machine* origin = load.roster.origin;
    if (p.ware->never_kept && f.may.direct && origin && choice.health.Usable(*origin) &&
        !p.HasFailed(origin) && choice.MayGo(p, *origin)) {
      Send(p, *origin, origin);
      return true;
    }
    load.Look();
    Machine* at = choice.CacheFor(p);
    Machine* source = at ? sources.SourceFor(p, *at) : nullptr;
    if (!at || (!source && p.known_miss))
      return false;  // nothing can fill it: a further look only adds legs
    // When the link fills up, a pull first only looks; a miss is filled while it can be in time.
    // Guards against any surge of misses (cold caches, purges, scans, large objects). Harm: one
    // round trip.
    if (source && !source->IsCache() && !p.ware->never_kept && at->role == Role::kStore) {
      // A burst is borne, a level that lasts is cut to half, since sources behind the link are as
      // crowded and no front sees it; so is that of a link not told, learnt from fills that such
      // sources stretch.
      constexpr double kPressed = 0.8, kLeast = 0.5;
      double part = load.LinkKnown() ? std::clamp(1.8 - 0.6 * load.Lasting(), kLeast, 1.0) : kLeast;
      if (p.known_miss && load.LinkLevel() > part * choice.Bearable(p))
        return false;
      bool can_look = !p.known_miss && static_cast<int>(p.legs.size()) + 1 < f.most_legs;
      if (can_look && load.LinkLevel() > kPressed)
        source = nullptr;
    }
    Send(p, *at, source);
    return true;
  }

  void Tend(Pull& p) {
    if (p.ended || p.streaming)
      return;
    if (now >= p.expires_at - kBeforeExpiry)
      return GiveUp(p, 0);
    if (!p.LegOut() && !SendNext(p))
      GiveUp(p, p.ware->mean_sending);
  }

  void Wake(std::uint32_t pull) {
    if (Pull* p = pulls.Known(pull)) {
      Tend(*p);
      pulls.Forget(*p);
    }
  }

  void GiveUp(Pull& p, Ms retry_after) {
    bool proven =
        std::all_of(p.legs.begin(), p.legs.end(), [](const Leg& l) { return l.never_ran; });
    bool repeats = p.ware->effect == Effect::kTicketed && p.ware->span == Span::kEverywhere;
    retry_after *= Drawn(0.75, 1.25);  // so that clients don't return in step
    if (proven || repeats || p.ware->effect == Effect::kRerunnable)
      Act(DeclinePull{p.pull, std::min(retry_after, f.retry_limit)});
    else
      Act(AbandonPull{p.pull});
    Finish(p);
  }

  // The pull has its final answer: losers are called off, and the pull goes when its last leg is
  // in.
  void Finish(Pull& p) {
    p.ended = true;
    CallOff(p, -1);
  }
  void CallOff(const Pull& p, int except) const {
    for (int i = 0; i < static_cast<int>(p.legs.size()); ++i)
      if (f.may.cancel && i != except && p.legs[static_cast<std::size_t>(i)].out)
        Act(CancelLeg{p.pull, i});
  }

  void Ended(LegEnded e) {
    Pull* found = pulls.Known(e.pull);
    if (!found || e.leg < 0 || e.leg >= static_cast<int>(found->legs.size()))
      return;
    Pull& p = *found;
    Leg& leg = p.legs[static_cast<std::size_t>(e.leg)];
    if (!std::exchange(leg.out, false))
      return;
    if (leg.at->role == Role::kStore)
      load.HearLink(e.report);
    load.Count(*leg.at, -leg.load);
    load.CountFill(-leg.fill);
    if (leg.source)
      load.Count(*leg.source, -1);
    // Where only hits are told, what took longer than the way to the cache failed behind it, and a
    // quick refusal had no place for the fill. Guards against laying a source's refusals and
    // silence to the caches. Harm: a cache's slow refusal is laid to the source.
    if (!f.remarks && leg.source && e.remark == Remark::kNone) {
      if (e.ending == Ending::kMiss && leg.held)
        e.remark = Remark::kSourceLacks;
      if (e.ending == Ending::kFull)
        e.remark = e.took > kTheWay ? Remark::kSourceRefused : Remark::kNoFillPlace;
      if (e.ending == Ending::kError && e.took > kTheWay)
        e.remark = Remark::kSourceLost;
    }
    leg.never_ran = e.ending == Ending::kFull || e.ending == Ending::kNoConnection ||
                    e.ending == Ending::kMoot || e.ending == Ending::kMiss;
    leg.at->trial_out = false;
    if (leg.source)
      leg.source->trial_out = false;
    if (e.ending == Ending::kFinished || e.ending == Ending::kMiss || e.ending == Ending::kFull)
      leg.at->last_good = std::max(leg.at->last_good, leg.sent_at);
    e.ending == Ending::kFinished ? Credit(p, leg, e) : Blame(p, leg, e);
    if (e.final && !p.ended)
      Finish(p);
    Tend(p);
    pulls.Forget(p);
  }

  // A good answer: what it shows of the cache, the source and the link.
  void Credit(Pull& p, Leg& leg, const LegEnded& e) {
    choice.health.Absolve(*leg.at);
    // An error may be the pull's own: it is a strike once another answers the same. Guards against
    // clients whose junk would set good caches aside. Harm: one that errs is known a leg later.
    for (const Leg& other : p.legs)
      if (other.erred)
        choice.health.Strike(*other.at);
    bool filled = e.remark == Remark::kFilled || e.remark == Remark::kFilledByOrigin;
    bool hit = e.remark == Remark::kHit || e.remark == Remark::kJoined || e.remark == Remark::kAged;
    if (e.remark == Remark::kFilledByOrigin)
      sources.LearnOrigin(e.waited);
    if (filled && leg.source)
      choice.health.Answered(*leg.source, leg.sent_at);
    if (!leg.at->IsCache() || p.ware->never_kept)
      return;
    if (hit || filled)
      memories.LearnOmega(p, leg, hit);
    Ms own = p.KnownSending(), took = e.took - kTheWay;
    if (filled && leg.source && !leg.source->IsCache() && leg.at->role == Role::kStore)
      sources.Filled(leg, own, took, e.waited);
    if (e.remark == Remark::kHit) {
      load.Learn(leg.at->room, load.Together(leg.at->legs, f.crew) + 1, own, took);
      if (!p.ware->sendings_seen)
        p.ware->mean_sending +=
            0.02 * (std::min(e.took, 4 * p.ware->mean_sending) - p.ware->mean_sending);
    }
    p.memory->last_at = leg.at;
  }

  // Whose fault an ending was, and whom this pull avoids from now on.
  void Blame(Pull& p, Leg& leg, const LegEnded& e) {
    Machine* source = leg.source;
    bool sibling = source && source->IsCache();
    Ms own = p.KnownSending();
    if (e.remark != Remark::kSourceLacks)
      p.spared = false;
    if (e.remark == Remark::kOriginFailed)
      sources.LearnOrigin(std::max(e.waited, 10 * sources.origin_calm));
    // A fill that was refused, lost or called off late shows a crowded source as well as a slow one
    // does. Not known as a miss, it is taken for a fill where the cache has answered what was sent
    // later.
    bool fill = p.known_miss || (!f.remarks && leg.at->last_good > leg.sent_at);
    if (!f.remarks)
      own += sources.fill_wait;
    if (source && !sibling && (e.remark == Remark::kSourceRefused || (fill && e.took > 3 * own)))
      sources.LearnFill(leg, own, std::max(e.took, 3 * own));
    if (e.ending == Ending::kMiss || e.remark == Remark::kNoFillPlace) {
      // No fault: the cache lacks it, or has no place to fill it but still serves hits.
      if (e.remark == Remark::kNoFillPlace || (!sibling && p.known_miss))
        p.failed.push_back(leg.at);
      p.sibling_lacked |= sibling;
      p.known_miss = true;
    } else if (source && e.remark >= Remark::kSourceRefused && e.remark <= Remark::kOriginFailed) {
      p.sibling_lacked |= sibling;
      p.known_miss = true;
      p.failed.push_back(source);
      if (e.remark == Remark::kSourceRefused)
        source->full_until = now + kSecond / 10;
      if (e.remark == Remark::kSourceLost)
        choice.health.Strike(*source);
    } else if (e.ending == Ending::kFull) {
      leg.at->full_until = now + kSecond / 20;  // its queue needs a moment
      p.failed.push_back(leg.at);
    } else if (e.ending != Ending::kCancelled && e.ending != Ending::kMoot && e.fell_with == 0) {
      p.failed.push_back(leg.at);
      if (e.ours)
        return;  // a descriptor was wanting here: it tells nothing of the machine
      leg.at->may_be_new |=
          e.ending == Ending::kNoConnection || (leg.at->aside && e.ending == Ending::kBroken);
      if (!(leg.erred = e.ending == Ending::kError))
        choice.health.Strike(*leg.at);
    }
  }
};

}  // namespace dunlinwick::logic
