// A request from its arrival to its answer: attempts, what their ends say, whose fault it was.
#pragma once
#include "logic/size_fairness.hpp"
#include "logic/sources.hpp"

namespace dunlinwick::logic {

struct Attempts : Part {
  static constexpr Ms kTheWay = 5;  // connection and network inside a location, on the long side
  static constexpr Ms kBeforeExpiry = 4;  // for the answer's way to the client
  Memories& memories;
  Load& load;
  Choice& choice;
  Sources& sources;
  SizeFairness fairness;

  void Arrive(const RequestCame& e) {
    if (e.request_class >= static_cast<int>(memories.class_states.size()) ||
        requests.count(e.request))
      return;
    Request& p = requests[e.request];
    static_cast<RequestCame&>(p) = e;
    ClassState& w =
        *(p.class_state = &memories.class_states[static_cast<std::size_t>(e.request_class)]);
    memories.Meet(p);
    p.agreed_at = now + std::min(w.agreed + w.agreed_stretch * p.sending, w.expiry);
    ExpireIn(p, e.ttl);
    fairness.Arrive(p);
    if (!choice.LetsIn(p))
      GiveUp(p, std::max(w.mean_sending, choice.admitted.come_back), RefusalReason::kAdmission);
    else if (choice.CrowdsOut(p))
      GiveUp(p, w.mean_sending, RefusalReason::kPlaces);
    else
      Tend(p);
    requests.Forget(p);
  }

  void ExpireIn(Request& p, Ms ttl) {
    p.expires_at = now + ttl;
    Act(WakeMe{std::max(now, p.expires_at - kBeforeExpiry), kWakeRequest << 56 | p.request});
  }

  void Send(Request& p, Machine& at, Machine* source) {
    Attempt attempt{&at, source == &at ? nullptr : source, now};
    // A fill that a full link or a crowded source holds up takes little of the cache.
    if (p.known_miss && attempt.source)
      attempt.load = 1 / std::max({1.0, load.LinkLevel(), attempt.source->pace});
    bool outside = at.role != Role::kStore || (attempt.source && !attempt.source->IsCache());
    // A leg that may yet prove a hit counts for three in ten, a usual share of misses.
    attempt.fill = !outside ? 0 : p.known_miss || at.role != Role::kStore ? 1 : 0.3;
    load.CountFill(attempt.fill);
    auto book = [&](Machine& m, double by) {
      load.Count(m, by);
      choice.cold.Charge(m, choice.cold.WorkOf(p));
      m.trial_out |= m.ejected;
    };
    book(at, attempt.load);
    if (attempt.source)
      book(*attempt.source, 1);
    SendAttempt a{p.request, at.cache, source ? source->cache : at.cache, f.may.join,
                  p.class_state->fresh_for > 0};
    attempt.held = attempt.source && attempt.source->role == Role::kParent &&
                   (p.held_only || sources.SparesOrigin(p));
    a.held_only = p.spared = attempt.held;
    // What may run once is lost with a connection that broke unseen while idle. Harm: one more way
    // there.
    a.proven = p.class_state->effect == Effect::kExclusive && f.may.probe;
    a.not_after = choice.RepeatsKnownTill(p);
    a.rank = p.rank;
    a.oldest = memories.purges.Oldest(p);
    a.timeout = std::max(1.0, p.expires_at - now);
    Act(a);
    p.attempts.push_back(attempt);
  }

  bool SendNext(Request& p) {
    // Two machines that call it an error are believed: a third would say the same.
    auto erred = std::count_if(p.attempts.begin(), p.attempts.end(),
                               [](const Attempt& l) { return l.erred; });
    choice.refusal = RefusalReason::kAttempts;
    if (static_cast<int>(p.attempts.size()) >= f.most_attempts || p.spared || erred >= 2)
      return false;
    Machine* origin = load.roster.origin;
    if (p.class_state->never_kept && f.may.direct && origin && choice.health.Usable(*origin) &&
        !p.HasFailed(origin) && choice.MayGo(p, *origin)) {
      Send(p, *origin, origin);
      return true;
    }
    load.Look();
    Machine* at = choice.CacheFor(p);
    if (!at)
      return false;
    Machine* source = sources.SourceFor(p, *at);
    choice.refusal = source ? RefusalReason::kLink : RefusalReason::kNoSource;
    if (!source && p.known_miss)
      return false;  // nothing can fill it: a further look only adds legs
    // When the link fills up, a pull first only looks; a miss is filled while it can be in time.
    // Guards against any surge of misses (cold caches, purges, scans, large objects). Harm: one
    // round trip.
    if (source && !source->IsCache() && !p.class_state->never_kept && at->role == Role::kStore) {
      // A burst is borne, a level that lasts is cut to half, since sources behind the link are as
      // crowded and no front sees it; so is that of a link not told, learnt from fills that such
      // sources stretch.
      constexpr double kPressed = 0.8, kLeast = 0.5;
      double part = load.LinkKnown() ? std::clamp(1.8 - 0.6 * load.Lasting(), kLeast, 1.0) : kLeast;
      if (p.known_miss && load.LinkLevel() > part * choice.MaxUtilisation(p))
        return false;
      bool can_look = !p.known_miss && static_cast<int>(p.attempts.size()) + 1 < f.most_attempts;
      if (can_look && load.LinkLevel() > kPressed)
        source = nullptr;
    }
    Send(p, *at, source);
    return true;
  }

  void Tend(Request& p) {
    if (p.ended || p.streaming)
      return;
    if (now >= p.expires_at - kBeforeExpiry)
      return GiveUp(p, 0, RefusalReason::kDeadline);
    if (!p.AttemptOut() && !SendNext(p))
      GiveUp(p, p.class_state->mean_sending, choice.refusal);
  }

  void Wake(std::uint32_t request) {
    if (Request* p = requests.Known(request)) {
      Tend(*p);
      requests.Forget(*p);
    }
  }

  void GiveUp(Request& p, Ms retry_after, RefusalReason reason) {
    bool proven = std::all_of(p.attempts.begin(), p.attempts.end(),
                              [](const Attempt& l) { return l.never_ran; });
    bool repeats = p.class_state->effect == Effect::kIdempotentWithKey &&
                   p.class_state->span == Span::kEverywhere;
    retry_after *= Drawn(0.75, 1.25);  // so that clients don't return in step
    if (proven || repeats || p.class_state->effect == Effect::kIdempotent)
      Act(DeclineRequest{p.request, std::min(retry_after, f.retry_limit), reason, p.Band()});
    else
      Act(AbandonRequest{p.request});
    fairness.Refused(p);
    Finish(p);
  }

  // The request has its final answer: it goes when its last attempt is in.
  void Finish(Request& p) {
    p.ended = true;
    CallOff(p, -1);
  }
  void CallOff(const Request& p, int except) const {
    for (int i = 0; i < static_cast<int>(p.attempts.size()); ++i)
      if (f.may.cancel && i != except && p.attempts[static_cast<std::size_t>(i)].out)
        Act(CancelAttempt{p.request, i});
  }

  void Ended(AttemptEnded e) {
    Request* found = requests.Known(e.request);
    if (!found || e.attempt < 0 || e.attempt >= static_cast<int>(found->attempts.size()))
      return;
    Request& p = *found;
    Attempt& attempt = p.attempts[static_cast<std::size_t>(e.attempt)];
    if (!std::exchange(attempt.out, false))
      return;
    if (attempt.at->role == Role::kStore)
      load.HearLink(e.report);
    load.Count(*attempt.at, -attempt.load);
    load.CountFill(-attempt.fill);
    if (attempt.source)
      load.Count(*attempt.source, -1);
    // Where only hits are told, what took longer than the way to the cache failed behind it, and a
    // quick refusal had no place for the fill. Guards against laying a source's refusals and
    // silence to the caches. Harm: a cache's slow refusal is laid to the source.
    if (!f.remarks && attempt.source && e.remark == Remark::kNone) {
      if (e.ending == Ending::kMiss && attempt.held)
        e.remark = Remark::kSourceLacks;
      if (e.ending == Ending::kFull)
        e.remark = e.took > kTheWay ? Remark::kSourceRefused : Remark::kNoFillPlace;
      if (e.ending == Ending::kError && e.took > kTheWay)
        e.remark = Remark::kSourceLost;
    }
    attempt.never_ran = e.ending == Ending::kFull || e.ending == Ending::kNoConnection ||
                        e.ending == Ending::kSuperseded || e.ending == Ending::kMiss;
    attempt.at->trial_out = false;
    if (attempt.source)
      attempt.source->trial_out = false;
    if (e.ending == Ending::kFinished || e.ending == Ending::kMiss || e.ending == Ending::kFull)
      attempt.at->last_good = std::max(attempt.at->last_good, attempt.sent_at);
    e.ending == Ending::kFinished ? Credit(p, attempt, e) : Blame(p, attempt, e);
    if (e.final && !p.ended) {
      fairness.Answered(p);
      Finish(p);
    }
    Tend(p);
    requests.Forget(p);
  }

  // A good answer: what it shows of the cache, the source and the link.
  void Credit(Request& p, Attempt& attempt, const AttemptEnded& e) {
    choice.health.Absolve(*attempt.at);
    // An error may be the pull's own: it is a strike once another answers the same. Guards against
    // clients whose junk would set good caches aside. Harm: one that errs is known a leg later.
    for (const Attempt& other : p.attempts)
      if (other.erred)
        choice.health.Strike(*other.at);
    bool filled = e.remark == Remark::kFilled || e.remark == Remark::kFilledByOrigin;
    bool hit = e.remark == Remark::kHit || e.remark == Remark::kJoined || e.remark == Remark::kAged;
    if (e.remark == Remark::kFilledByOrigin)
      sources.LearnOrigin(e.waited);
    if (filled && attempt.source)
      choice.health.Answered(*attempt.source, attempt.sent_at);
    if (!attempt.at->IsCache() || p.class_state->never_kept)
      return;
    if (hit || filled)
      memories.LearnOmega(p, attempt, hit);
    Ms own = p.KnownSending(), took = e.took - kTheWay;
    if (filled && attempt.source && !attempt.source->IsCache() && attempt.at->role == Role::kStore)
      sources.Filled(attempt, own, took, e.waited);
    if (e.remark == Remark::kHit) {
      load.Learn(attempt.at->room, load.Together(attempt.at->attempts, f.zone_replicas) + 1, own,
                 took);
      if (!p.class_state->sendings_seen)
        p.class_state->mean_sending += 0.02 * (std::min(e.took, 4 * p.class_state->mean_sending) -
                                               p.class_state->mean_sending);
    }
    p.memory->last_at = attempt.at;
  }

  // Whose fault an ending was, and whom this pull avoids from now on.
  void Blame(Request& p, Attempt& attempt, const AttemptEnded& e) {
    Machine* source = attempt.source;
    bool sibling = source && source->IsCache();
    Ms own = p.KnownSending();
    if (e.remark != Remark::kSourceLacks)
      p.spared = false;
    if (e.remark == Remark::kOriginFailed)
      sources.LearnOrigin(std::max(e.waited, 10 * sources.origin_calm));
    // A fill that was refused, lost or called off late shows a crowded source as well as a slow one
    // does. Not known as a miss, it is taken for a fill where the cache has answered what was sent
    // later.
    bool fill = p.known_miss || (!f.remarks && attempt.at->last_good > attempt.sent_at);
    if (!f.remarks)
      own += sources.fill_wait;
    if (source && !sibling && (e.remark == Remark::kSourceRefused || (fill && e.took > 3 * own)))
      sources.LearnFill(attempt, own, std::max(e.took, 3 * own));
    if (e.ending == Ending::kMiss || e.remark == Remark::kNoFillPlace) {
      // No fault: the cache lacks it, or has no place to fill it but still serves hits.
      if (e.remark == Remark::kNoFillPlace || (!sibling && p.known_miss))
        p.failed.push_back(attempt.at);
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
      attempt.at->full_until = now + kSecond / 20;  // its queue needs a moment
      p.failed.push_back(attempt.at);
    } else if (e.ending != Ending::kCancelled && e.ending != Ending::kSuperseded &&
               e.fell_with == 0) {
      p.failed.push_back(attempt.at);
      if (e.ours)
        return;  // a descriptor was wanting here: it tells nothing of the machine
      attempt.at->may_be_new |=
          e.ending == Ending::kNoConnection || (attempt.at->ejected && e.ending == Ending::kBroken);
      if (!(attempt.erred = e.ending == Ending::kError))
        choice.health.Strike(*attempt.at);
    }
  }
};

}  // namespace dunlinwick::logic
