// Cold: the budgets of machines that started lately, by what all fronts together may send them.
#pragma once
#include "logic/load.hpp"

namespace dunlinwick::logic {

struct Cold : Part {
  const Load& load;

  // Transfers that a warm machine of its like carries, on the low side.
  double Capacity(const Machine& m) const {
    if (load.roster.weighed)
      return m.weight;
    double least = 0;
    for (const Machine* other : m.role == Role::kParent ? load.roster.parents : load.roster.stores)
      if (other->kind == m.kind && !load.roster.cold_terms(*other))
        least = least > 0 ? std::min(least, other->room.proven) : other->room.proven;
    return least > 0 ? least : m.room.proven;
  }

  // The rule counts work over every window of the stated length, with 2 sqrt(N) + 2 mean requests
  // for chance. Half of this front's share is used, since pulls bunch. What is more goes by a draw
  // that holds for a window and lapses, so that none is saved up: sums up to a mean one, or one, by
  // its own work beside what is left, up to half the limit. Harm: the largest go to warm machines.
  bool Affords(Machine& m, Ms work) const {
    const ColdTerms* t = load.roster.cold_terms(m);
    if (!t || t->multiple <= 0 || f.cold_window <= 0)
      return true;
    Forget(m);
    double whole = t->multiple * Capacity(m) * load.roster.Warmth(m) * f.cold_window, spent = 0;
    int sharers = load.Sharers(m);
    double share = 0.5 * whole / sharers * PartSeen(m);
    if (now >= m.turn_until) {
      m.turn = Drawn();
      m.turn_until = now + f.cold_window;
    }
    for (auto& [at, w] : m.spent)
      spent += w;
    if (spent + work <= std::max(share, m.turn * mean_work < share ? mean_work : 0))
      return true;
    double limit = whole + 2 * std::sqrt(whole * mean_work) + 2 * mean_work;
    // Replicas may all send their largest within one window: the limit then has room for so many of
    // them, as many as the draw lets come together.
    constexpr int kMostTogether = 8;
    double largest = std::min(limit / 2, (limit - whole / 2) / std::min(sharers, kMostTogether));
    return work <= largest && m.turn * work < share - spent;
  }

  // How much of the window this process has seen. What one that was killed before it sent there is
  // not known: the share grows from nothing to the whole within a window, so that all its
  // predecessors and it stay within two shares, however often it restarts. Harm: after a restart,
  // for a window, less goes to servers in slow start.
  double PartSeen(const Machine& m) const {
    bool may_have_served = m.slow_start_from < first_met;
    return may_have_served ? std::clamp((now - first_met) / f.cold_window, 0.0, 1.0) : 1;
  }

  static Ms WorkOf(const Request& p) {
    return std::max(p.sending, p.class_state->mean_sending);
  }
  // Its own, and not less than its class's mean, which who counts requests holds it for. Booked at
  // warm ones too: what was sent before the news of a start came is at the new process.
  void Charge(Machine& m, Ms work) const {
    Forget(m);
    m.spent.emplace_back(now, work);
  }
  void Forget(Machine& m) const {
    while (!m.spent.empty() && m.spent.front().first < now - f.cold_window)
      m.spent.pop_front();
  }

  // The mean work of this front's requests, steady since an object's parts come in a row.
  double mean_work = 0;
  double works_seen = 0;
  Ms first_met = kLongAgo;  // when this process had its first request
  void Meet(Ms work) {
    if (works_seen == 0)
      first_met = now;
    mean_work +=
        (work - mean_work) / (works_seen = std::min(works_seen + 1, 500.0));  // some thirty objects
  }
};

}  // namespace dunlinwick::logic
