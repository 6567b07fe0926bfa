// Roster: the list of servers, how warm each is, and the order in which an object is asked of them.
#pragma once
#include "logic/memories.hpp"

namespace dunlinwick::logic {

struct Roster : Part, Machines {
  Memories& memories;
  // Live weights change from list to list, and a home must not: they count as absent.
  const bool weighed = f.weighing == Weighing::kNominal || f.weighing == Weighing::kRough;
  Machine* origin = nullptr;

  bool Take(const ListNews& news) {
    if (news.listing == Listing::kFailed)  // ask again soon: the old list stays, and ages
    {
      Act(WakeMe{now + kSecond, kWakeList << 56});
      return false;
    }
    if (f.asks_for_list && news.listing == Listing::kRemembered)
      Act(FollowList{});
    if (news.listing != Listing::kChanges)
      for (auto& [id, m] : machines)
        m.standing = Standing::kGone;  // one that a full list lacks has left
    for (const ListEntry& e : news.entries)
      TakeEntry(e);
    std::erase_if(machines, [&](auto& one) { return Left(one.second); });
    Regroup();
    origin = nullptr;
    for (Machine* m : origins)
      if (!origin || m->standing == Standing::kReady)
        origin = m;
    return true;
  }

  // Gone, and nothing sent in the last minute was answered there: it is forgotten, unless a pull
  // still points to it. Harm: one listed again later is as new to this front.
  bool Left(const Machine& m) {
    if (m.standing != Standing::kGone || now - m.last_good < 60 * kSecond || requests.PointTo(&m))
      return false;
    memories.table.Unlink(&m);
    return true;
  }

  void TakeEntry(const ListEntry& e) {
    Machine& m = machines[e.cache];
    Ms before = m.slow_start_from;
    static_cast<ListEntry&>(m) = e;
    m.slow_start_from = std::max(StartOf(e), before);
    if (!weighed || e.weight <= 0)
      m.weight = 1;
    m.role = RoleOf(e, f);
    if (m.slow_start_from > before) {  // a new start: what was known of the old process is void
      if (m.ejected)
        Act(TellHealth{m.cache, false});
      m.strikes = 0;
      m.ejected = m.trial_out = false;
      m.room = {};
    }
    // Weights absent: a cache is held to carry four transfers, a small machine's worth, a source
    // ample; answers correct both. Until they prove more, cold budgets go by the four.
    constexpr double kSmall = 4, kAmple = 200;
    m.room.nominal = m.IsCache() ? kSmall : kAmple;
    if (weighed && m.role != Role::kOrigin)
      m.room.nominal = m.weight;
    m.room.proven = std::max(m.room.proven, kSmall);
    if (m.room.fits <= 0)
      m.room.fits = m.room.nominal;
  }

  // When a machine started, on this front's clock; 0: long ago. One that was first told of in a
  // change started after the last moment at which nothing was missing here, but for the time that
  // its listing takes. A stamp from before that, or ahead of the telling, is of a clock that
  // disagrees, and the start counts as when it was told. Guards against a slow start that is
  // missed, or never ends, after a step of either clock. Harm: one that took longer to be listed,
  // or comes back after the board forgot it, is spared anew.
  static Ms StartOf(const ListEntry& e) {
    constexpr Ms kListingTakes = 5 * kSecond;
    if (!e.started_at.IsSet())
      return 0;
    if (!e.notified)
      return e.started_at.UnixMs();
    Ms earliest = e.notified->up_to_date_at ? *e.notified->up_to_date_at - kListingTakes : 0;
    return ToLocalClock(e.started_at, earliest, e.notified->at);
  }

  const ColdTerms* cold_terms(const Machine& m) const {
    if (m.role == Role::kOrigin || m.slow_start_from <= 0)
      return nullptr;
    const ColdTerms& t = m.role == Role::kParent ? f.cold_parent : f.cold_store;
    return now - m.slow_start_from < t.lasts ? &t : nullptr;
  }

  double Warmth(const Machine& m) const {
    const ColdTerms* t = cold_terms(m);
    return t ? t->from + (1 - t->from) * std::max(0.0, now - m.slow_start_from) / t->lasts : 1;
  }

  // Weighted rendezvous hash: every front comes to the same order. A cold machine's weight grows
  // with its warmth, so that its objects come home in step with what it can carry.
  std::vector<Machine*> InOrder(const std::vector<Machine*>& from, std::uint64_t object) const {
    std::vector<std::pair<double, Machine*>> scored;
    for (Machine* m : from) {
      double u = Inside(Mixed(Mixed(object) ^ Mixed(m->cache)));
      scored.emplace_back(-std::log(u) / (m->weight * Warmth(*m)), m);
    }
    return Sorted(std::move(scored));
  }
};

}  // namespace dunlinwick::logic
