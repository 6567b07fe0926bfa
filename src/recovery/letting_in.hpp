// How much of its usual work a front lets in, and which classes first. Pure; a step for each front
// alone, bounded over all of them since each starts at a part of what cold parents bear from
// everybody, and all hear of crowding.
#pragma once
#include <vector>

#include "recovery/recovery.hpp"

namespace dunlinwick::recovery {

class LettingIn {
 public:
  explicit LettingIn(const Terms& terms);
  void begin(Ms now);  // from the share it has; zones step one after the other within a step's time
  void all() {
    share_ = 1;
  }
  void Again() {
    share_ = std::min(share_, terms_.first);
    edge_ = 0;
  }
  void Crowded(Ms now, bool halve);
  bool Step(Ms now);  // true: the share moved
  double Share() const {
    return share_;
  }
  Ms Next() const {
    return next_;
  }
  // By offering: those of most payoff first until `share` of the usual work is let in. certainOnly:
  // none of the rest.
  std::vector<double> ByRequestClass(bool certain_only) const;

 private:
  const Terms& terms_;
  double share_;
  double edge_ = 0;  // where it was crowded last
  Ms next_ = 0;
  Ms halved_at_;
  bool held_ = false;  // crowded since the last step
};
Ms LettingInTakes(
    const Terms& terms);  // from `least` to all, by the slow steps alone, with nothing crowded

}  // namespace dunlinwick::recovery
