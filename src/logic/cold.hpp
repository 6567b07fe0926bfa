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

  // The rule counts work over every window of the stated length, with 2 sqrt(N) + 2 mean requests for chance.
  // Half of this front's share is used, since pulls bunch. What is more goes by a draw that holds for a
  // window and lapses, so that none is saved up: sums up to a mean one, or one, by its own work beside what
  // is left, up to half the limit. Harm: the largest go to warm machines.
  bool affords(Machine& m, Ms work) const {
    const ColdTerms* t = load.roster.coldTerms(m);
    if (!t || t->multiple <= 0 || f.coldWindow <= 0) return true;
    forget(m);
    double whole = t->multiple * capacity(m) * load.roster.warmth(m) * f.coldWindow, spent = 0;
    int sharers = load.sharers(m);
    double share = 0.5 * whole / sharers * partSeen(m);
    if (now >= m.turnUntil) m.turn = drawn(), m.turnUntil = now + f.coldWindow;
    for (auto& [at, w] : m.spent) spent += w;
    if (spent + work <= std::max(share, m.turn * meanWork < share ? meanWork : 0)) return true;
    double limit = whole + 2 * std::sqrt(whole * meanWork) + 2 * meanWork;
    // A few replicas may all send their largest within one window: the limit then has room for all of them.
    constexpr int few = 3;
    double largest = sharers > few ? limit / 2 : std::min(limit / 2, (limit - whole / 2) / sharers);
    return work <= largest && m.turn * work < share - spent;
  }

  // How much of the window this process has seen. What one that was killed before it sent there is not known: the
  // share grows from nothing to the whole within a window, so that all its predecessors and it stay within two
  // shares, however often it restarts. Harm: after a restart, for a window, less goes to servers in slow start.
  double partSeen(const Machine& m) const {
    bool mayHaveServed = m.slow_start_from < firstMet;
    return mayHaveServed ? std::clamp((now - firstMet) / f.coldWindow, 0.0, 1.0) : 1;
  }

  static Ms workOf(const Pull& p) { return std::max(p.sending, p.ware->meanSending); }
  // Its own, and not less than its class's mean, which who counts requests holds it for. Booked at warm ones
  // too: what was sent before the news of a start came is at the new process.
  void charge(Machine& m, Ms work) const { forget(m), m.spent.emplace_back(now, work); }
  void forget(Machine& m) const {
    while (!m.spent.empty() && m.spent.front().first < now - f.coldWindow) m.spent.pop_front();
  }

  // The mean work of this front's requests, steady since an object's parts come in a row.
  double meanWork = 0, worksSeen = 0;
  Ms firstMet = longAgo;  // when this process had its first request
  void meet(Ms work) {
    if (worksSeen == 0) firstMet = now;
    meanWork += (work - meanWork) / (worksSeen = std::min(worksSeen + 1, 500.0));  // some thirty objects
  }
};

}  // namespace dunlinwick::logic
