// Cold: the budgets of machines that started lately, by what all fronts together may send them.
#pragma once
#include "logic/load.hpp"

namespace dunlinwick::logic {

struct Cold : Part {
  const Load& load;

  // Transfers that a warm machine of its like carries, on the low side.
  double capacity(const Machine& m) const {
    if (load.roster.weighed) return m.weight;
    double least = 0;
    for (const Machine* other : m.role == Role::parent ? load.roster.parents : load.roster.stores)
      if (other->kind == m.kind && !load.roster.coldTerms(*other))
        least = least > 0 ? std::min(least, other->room.proven) : other->room.proven;
    return least > 0 ? least : m.room.proven;
  }

  // The rule counts work over every window of the stated length. Half of this front's share is used: sizes
  // are estimates, and pulls bunch. Where a share is less than a leg, a front has one in as many windows as
  // make it up, by chance; a turn that is not used lapses, so that none are saved up.
  bool affords(Machine& m, Ms work) const {
    const ColdTerms* t = load.roster.coldTerms(m);
    if (!t || t->multiple <= 0 || f.coldWindow <= 0) return true;
    while (!m.spent.empty() && m.spent.front().first < now - f.coldWindow) m.spent.pop_front();
    double share = 0.5 * t->multiple * capacity(m) * load.roster.warmth(m) * f.coldWindow / load.sharers(m);
    if (share < work && now >= m.turnUntil) m.turn = drawn() < share / work, m.turnUntil = now + f.coldWindow;
    if (share < work) return m.turn && m.spent.empty();
    for (auto& [at, w] : m.spent) work += w;
    return work <= share;
  }

  void charge(Machine& m, Ms work) const {
    load.roster.coldTerms(m) ? (void)m.spent.emplace_back(now, work) : m.spent.clear();
  }
};

}  // namespace dunlinwick::logic
