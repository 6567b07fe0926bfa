// Size fairness: in overload, a class's large requests are not shed before all others of it.
#pragma once
#include "logic/load.hpp"

namespace dunlinwick::logic {

struct SizeFairness : Part {
  const Load& load;

  // Requests of one size step of a class are owed this part of the share of the class that is
  // admitted. What is owed adds up to one admission, which utilisation and price then don't refuse.
  void Arrive(Request& p) const {
    constexpr double kLeastShare = 0.6;
    double& owed = p.class_state->OwedTo(p.sending);
    owed += kLeastShare * p.class_state->admitted_share;
    p.is_owed = owed >= 1 && f.remarks && AreServersHealthy();
    p.claimed = std::min(owed, 1.0);
    owed -= p.claimed;
  }
  static void Refused(Request& p) {
    p.class_state->OwedTo(p.sending) += std::exchange(p.claimed, 0);
    p.class_state->admitted_share -= kStep * p.class_state->admitted_share;
  }
  static void Answered(Request& p) {
    p.class_state->admitted_share += kStep * (1 - p.class_state->admitted_share);
  }

 private:
  static constexpr double kStep = 0.02;  // of the last fifty requests
  // Where servers fail, hang or start, or did lately, what is large is sent to them in vain. Where
  // answers don't tell what became of a fill (`remarks`), neither is known well enough.
  bool AreServersHealthy() const {
    constexpr Ms kLately = 10 * kSecond;
    return std::all_of(load.roster.stores.begin(), load.roster.stores.end(), [&](const Machine* m) {
      return m->standing == Standing::kReady && !m->ejected && m->strikes == 0 &&
             now - m->ejected_until > kLately && !load.roster.cold_terms(*m);
    });
  }
};

}  // namespace dunlinwick::logic
