// Choice: which cache a request's next attempt goes to, how full it may be, and whether it is let
// in.
#pragma once
#include "logic/cold.hpp"
#include "logic/health.hpp"

namespace dunlinwick::logic {

struct Choice : Part {
  const Load& load;
  Cold& cold;
  Health& health;
  double mean_payoff = 1;
  double mean_work = 100;
  double place_price = 0;
  RefusalReason refusal = RefusalReason::kNoEndpoint;  // why the last request got no attempt
  std::vector<double> shares{};  // of pulls, by zone; empty: all stay in the own

  Machine* CacheFor(const Request& p) {
    auto away = load.roster.away.find(ZoneFor(p));  // the own zone is none of these
    Machine* at = away == load.roster.away.end() ? nullptr : Among(p, away->second);
    return at ? at : Among(p, load.roster.stores);
  }
  Machine* Among(const Request& p, const std::vector<Machine*>& caches) {
    std::vector<Machine*> open;
    refusal = RefusalReason::kNoEndpoint;
    for (Machine* m : load.roster.InOrder(caches, p.object)) {
      if (!health.Judge(*m) || p.HasFailed(m) || !MayGo(p, *m))
        continue;
      if (cold.Affords(*m, cold.WorkOf(p)))
        open.push_back(m);
      else
        refusal = RefusalReason::kSlowStart;
    }
    Machine* at = FirstInBounds(open, p);
    if (at && load.level(*at) <= MaxUtilisation(p))
      return at;
    refusal = at ? RefusalReason::kUtilisation : refusal;
    return nullptr;
  }

  // Bounded load: the first in hash order that is at most a quarter over the mean level, or at one
  // where most pulls are in time, since a move costs a fill; and that this pull can bear. Else the
  // least level.
  Machine* FirstInBounds(const std::vector<Machine*>& open, const Request& p) const {
    double held = 0, room = 0;
    Machine* least = nullptr;
    for (Machine* m : open) {
      held += load.Together(m->attempts, load.Sharers(*m));
      room += load.Carries(m->room) * load.roster.Warmth(*m);
      if (!least || load.level(*m) < load.level(*least))
        least = m;
    }
    double most = std::min(std::max(1.75, 1.25 * (held + 1) / room), MaxUtilisation(p));
    auto first =
        std::find_if(open.begin(), open.end(), [&](Machine* m) { return load.level(*m) <= most; });
    return first == open.end() ? least : *first;
  }

  // How crowded a machine or link may be for this pull: stretched by about the level, it must be in
  // time. A poor payoff for the work takes some off: in overload those go first that earn least for
  // it.
  double MaxUtilisation(const Request& p) const {
    constexpr double kLeast = 1.2, kOwed = 3.0, kMost = 5.0;
    constexpr double kMargin = 0.8;  // the level rises while the request is under way
    if (p.is_owed)
      return kOwed;
    double stretch = kMargin * (p.agreed_at - now) / std::max(p.sending, 1.0);
    double bearable = stretch * std::clamp(std::pow(ValueDensity(p), 0.2), 0.7, 1.3);
    return std::clamp(bearable, kLeast, kMost);
  }
  // Payoff for the work, beside that of the usual request.
  double ValueDensity(const Request& p) const {
    return (p.class_state->payoff / std::max(p.sending, 1.0)) /
           (mean_payoff / std::max(mean_work, 1.0));
  }

  // A fleet that comes back from a loss lets in what cold machines bear, all fronts together
  // (src/recovery/); the rest is declined at once. Harm: a front that is told late declines what
  // could be served.
  LetIn admitted{};
  bool LetsIn(const Request& p) const {
    auto at = static_cast<std::size_t>(p.request_class);
    return at >= admitted.by_request_class.size() || Drawn() < admitted.by_request_class[at];
  }

  // Clients have so many places here, each taken until its answer; when all are, the next pull is
  // turned away whatever it is worth. A price on places settles where nine in ten are taken, and
  // swings with them; what earns less is declined. Guards against surges or slowness that fill
  // them. Harm: costs some large objects.
  bool CrowdsOut(const Request& p) {
    mean_payoff += 0.01 * (p.class_state->payoff - mean_payoff);  // about the last hundred pulls
    mean_work += 0.01 * (p.sending - mean_work);
    cold.Meet(p.sending);
    constexpr double kAim = 0.9, kStep = 0.002, kSwing = 4;
    double over = f.places > 0 ? static_cast<double>(requests.size()) / f.places - kAim : -1;
    place_price = std::clamp(place_price + kStep * over, 0.0, 2.0);
    return !p.is_owed && ValueDensity(p) < place_price + kSwing * over;
  }

  // Rule 2: where a further leg of this pull may go.
  bool MayGo(const Request& p, const Machine& m) const {
    const RequestClass& o = *p.class_state;
    for (const Attempt& attempt : p.attempts) {
      if (attempt.never_ran)
        continue;
      if (o.effect == Effect::kExclusive || (attempt.out && !f.may.two_attempts_at_once))
        return false;
      if (o.effect == Effect::kIdempotent)
        continue;
      if (now - attempt.sent_at >= o.memory)
        return false;
      if (o.span == Span::kZone && m.zone != attempt.at->zone)
        return false;
      if (o.span == Span::kCell && m.cell != attempt.at->cell)
        return false;
    }
    return true;
  }

  // Until when a further leg is known as a repeat of those before it, wherever it waits; 0: it
  // repeats none.
  Ms RepeatsKnownTill(const Request& p) const {
    if (p.class_state->effect != Effect::kIdempotentWithKey)
      return 0;
    auto first = std::find_if(p.attempts.begin(), p.attempts.end(),
                              [](const Attempt& attempt) { return !attempt.never_ran; });
    return first == p.attempts.end()
               ? 0
               : first->sent_at + p.class_state->memory;  // in the order of their sending
  }

  // The fleet's verdict says which share of pulls goes to which zone: objects by hash, the same at
  // all fronts of a zone. Guards against a zone whose caches are lost to all its fronts. Harm:
  // misses abroad until kept there. A ticket known to one zone stays: a client's repeat, after the
  // shares moved, would run twice. Without probes a cache that is due its trial gets it, else none
  // would ever be back.
  int ZoneFor(const Request& p) const {
    const RequestClass& o = *p.class_state;
    if (shares.empty() || (o.effect == Effect::kIdempotentWithKey && o.span != Span::kEverywhere))
      return f.zone;
    if (!f.may.probe && o.effect == Effect::kIdempotent && p.attempts.empty())
      for (const Machine* m : load.roster.stores)
        if (m->ejected && health.Usable(*m))
          return f.zone;
    double left = Fraction(Mixed(p.object ^ 0x5eedull));  // not the homes' hash
    if ((left -= shares[static_cast<std::size_t>(f.zone)]) < 0)
      return f.zone;
    for (auto& [z, caches] : load.roster.away)
      if (z < static_cast<int>(shares.size()) && (left -= shares[static_cast<std::size_t>(z)]) < 0)
        return z;
    return f.zone;
  }
  void Take(const ZoneShares& e) {
    shares = f.zone < std::ssize(e.shares) ? e.shares : decltype(shares){};
  }
};

}  // namespace dunlinwick::logic
