// How much of its usual work a front lets in, and which classes first. Pure; a step for each front alone, bounded over all of them since
// each starts at a part of what cold parents bear from everybody, and all hear of crowding.
#pragma once
#include <vector>

#include "recovery/recovery.hpp"

namespace dunlinwick::recovery {

class LettingIn {
 public:
  explicit LettingIn(const Terms& terms);
  void begin(Ms now);     // from the share it has; zones step one after the other within a step's time
  void all() { share_ = 1; }
  void again() { share_ = std::min(share_, terms_.first), edge_ = 0; }
  void crowded(Ms now, bool halve);
  bool step(Ms now);      // true: the share moved
  double share() const { return share_; }
  Ms next() const { return next_; }
  // By offering: those of most payoff first until `share` of the usual work is let in. certainOnly: none of the rest.
  std::vector<double> byOffering(bool certainOnly) const;

 private:
  const Terms& terms_;
  double share_, edge_ = 0;  // where it was crowded last
  Ms next_ = 0, halvedAt_;
  bool held_ = false;        // crowded since the last step
};
Ms lettingInTakes(const Terms& terms);  // from `least` to all, by the slow steps alone, with nothing crowded

}  // namespace dunlinwick::recovery
